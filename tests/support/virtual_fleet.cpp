#include "virtual_fleet.hpp"

#include <algorithm>
#include <cmath>

namespace masticslip::testing
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t entry_network = 0x0a000100;
constexpr std::uint32_t companion_network = 0x0a000200;
constexpr std::uint32_t caller_network = 0x0a010000;
constexpr std::uint16_t port = 7000;
constexpr duration announce_interval = 300ms;
constexpr duration caller_timeout = 500ms;
constexpr std::uint32_t max_transmissions = 6;
constexpr std::uint32_t max_echo_rounds = 4;
constexpr std::uint32_t cold_collapse = 3;
constexpr int cold_slowdown = 3;
constexpr duration collapse_time = 1500ms;

const shared_key key{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16};

instance_id entry_address(std::size_t index)
{
    const auto host = static_cast<std::uint32_t>(index + 1);
    return {endpoint{entry_network + host, port}.packed()};
}

instance_id companion_address(std::size_t index)
{
    const auto host = static_cast<std::uint32_t>(index + 1);
    return {endpoint{companion_network + host, port}.packed()};
}

std::string domain_name(std::size_t index)
{
    return "domain-" + std::to_string(index);
}

std::string text_of(const bytes& value)
{
    return {value.begin(), value.end()};
}

bytes bytes_of(const std::string& text)
{
    return {text.begin(), text.end()};
}

} // namespace

class virtual_fleet::counting_sink final : public event_sink
{
public:
    void on_event(time_point, const core_event& event) override
    {
        ++this->counts.at(static_cast<std::size_t>(event.kind));
    }

    std::array<std::uint64_t, event_kind_count> counts{};
};

struct virtual_fleet::entry_node final : entry_output
{
    entry_node(virtual_fleet& fleet, std::size_t index)
        : fleet(fleet), id(entry_address(index)), index(index)
    {
    }

    void start()
    {
        const incarnation life{this->fleet.next_life++};
        this->wire = std::make_unique<message_codec>(
            wire_identity{this->id, life}, std::vector<shared_key>{key});
        entry_settings settings;
        settings.self = this->id;
        settings.life = life;
        settings.name = "entry-" + std::to_string(this->index);
        settings.failure_domain =
            domain_name(this->index % this->fleet.options.failure_domains);
        settings.seeds = {entry_address(0), entry_address(1)};
        settings.cache_capacity = 1000;
        settings.random_seed = life.value;
        this->core =
            std::make_unique<entry_core>(settings, *this, *this->fleet.sink);
    }

    void send(instance_id to, const internal_message& message) override
    {
        const generation number =
            this->core ? this->core->config().number() : 0;
        this->fleet.send_internal(
            this->id, to, this->wire->encode(to, number, message));
    }

    void send_to_caller(const flow_key& flow, byte_view payload) override
    {
        const std::size_t caller = flow.caller.address - caller_network;
        const bytes copy(payload.begin(), payload.end());
        this->fleet.link(
            this->id, {},
            [this, caller, copy] { this->fleet.caller_receive(caller, copy); });
    }

    void refuse_caller(
        const flow_key&, byte_view, result_code, std::chrono::seconds) override
    {
        ++this->refusals;
    }

    void on_configuration(const configuration&) override
    {
    }

    virtual_fleet& fleet;
    instance_id id;
    std::size_t index;
    std::unique_ptr<message_codec> wire;
    std::unique_ptr<entry_core> core;
    time_point frozen_until;
    std::uint64_t refusals = 0;
};

struct virtual_fleet::companion_node final : companion_output
{
    companion_node(virtual_fleet& fleet, std::size_t index, std::size_t domain)
        : fleet(fleet), id(companion_address(index)), index(index),
          domain(domain)
    {
        this->upstream.service = virtual_service;
    }

    void start()
    {
        const incarnation life{this->fleet.next_life++};
        this->wire = std::make_unique<message_codec>(
            wire_identity{this->id, life}, std::vector<shared_key>{key});
        companion_settings settings;
        settings.self = this->id;
        settings.life = life;
        settings.name = "companion-" + std::to_string(this->index);
        settings.failure_domain = domain_name(this->domain);
        settings.service = virtual_service;
        settings.seeds = {entry_address(0), entry_address(1)};
        settings.key = key;
        settings.policy = this->fleet.options.policy;
        if (this->fleet.options.adjust)
        {
            this->fleet.options.adjust(settings);
        }
        this->core = std::make_unique<companion_core>(
            settings, *this, *this->fleet.sink, this->fleet.codec);
    }

    void send(instance_id to, const internal_message& message) override
    {
        const generation number =
            this->core ? this->core->config().number() : 0;
        this->fleet.send_internal(
            this->id, to, this->wire->encode(to, number, message));
    }

    void send_to_upstream(byte_view datagram) override
    {
        const auto message = this->fleet.codec.decode(datagram);
        this->fleet.at(
            this->fleet.clock,
            [this, message]
            {
                if (message)
                {
                    this->fleet.upstream_receive(*this, *message);
                }
            });
    }

    void send_datagram_to_upstream(const flow_key&, byte_view) override
    {
        ++this->upstream.packets;
        this->upstream.last_packet = this->fleet.clock;
    }

    void close_datagram_flow(const flow_key&) override
    {
    }

    virtual_fleet& fleet;
    instance_id id;
    std::size_t index;
    std::size_t domain;
    std::unique_ptr<message_codec> wire;
    std::unique_ptr<companion_core> core;
    time_point frozen_until;
    std::deque<bytes> frozen_datagrams;
    fake_upstream upstream;
    time_point next_announcement;
};

struct virtual_fleet::caller_node
{
    struct exchange
    {
        coap_message request;
        std::size_t track = 0;
        std::uint32_t transmissions = 0;
        std::uint32_t echo_rounds = 0;
        time_point repeat_at;
        bool is_watch = false;
    };

    std::size_t index = 0;
    bytes echo;
    std::uint16_t next_message_id = 1;
    std::map<bytes, exchange> exchanges;
    bytes watch_token;
    watch_track watch;
};

virtual_fleet::virtual_fleet(virtual_options wanted)
    : options(std::move(wanted)), random(this->options.seed),
      clock(time_point(1s)), sink(std::make_unique<counting_sink>())
{
    this->document.number = 1;
    this->document.services = {
        {virtual_service, {0x0a090001, 5683}, this->options.protocol}};
    for (std::size_t i = 0; i < this->options.failure_domains; ++i)
    {
        this->document.failure_domains.push_back(domain_name(i));
    }
    preset ordinary;
    ordinary.name = "ordinary";
    ordinary.choice_width = this->options.choice_width;
    ordinary.limits.max_in_flight = this->options.upstream_slots;
    this->document.presets = {ordinary};
    this->document.preset_in_force = "ordinary";
    for (std::size_t i = 0; i < this->options.entries; ++i)
    {
        this->entries.push_back(std::make_unique<entry_node>(*this, i));
        this->start_entry(i);
    }
    for (std::size_t i = 0; i < this->options.companions; ++i)
    {
        this->add_companion(i % this->options.failure_domains);
    }
    for (std::size_t i = 0; i < this->options.callers; ++i)
    {
        this->callers.push_back(std::make_unique<caller_node>());
        this->callers.back()->index = i;
    }
    failure_reason reason;
    this->entries[0]->core->offer_configuration(
        this->clock, serialize_configuration(this->document), reason);
    this->at(this->clock + tick_interval, [this] { this->tick_all(); });
}

virtual_fleet::~virtual_fleet() = default;

void virtual_fleet::run_for(duration span)
{
    const time_point end = this->clock + span;
    while (!this->queue.empty() && this->queue.front().when <= end)
    {
        std::pop_heap(this->queue.begin(), this->queue.end(), std::greater<>{});
        const pending_event event = std::move(this->queue.back());
        this->queue.pop_back();
        this->clock = event.when;
        event.run();
    }
    this->clock = end;
}

void virtual_fleet::change(
    const std::function<void(configuration&)>& edit, std::size_t entry)
{
    edit(this->document);
    ++this->document.number;
    failure_reason reason;
    this->entries[entry]->core->offer_configuration(
        this->clock, serialize_configuration(this->document), reason);
}

void virtual_fleet::kill_entry(std::size_t index)
{
    this->entries[index]->core.reset();
}

void virtual_fleet::start_entry(std::size_t index)
{
    this->entries[index]->start();
}

void virtual_fleet::freeze_entry(std::size_t index, duration span)
{
    this->entries[index]->frozen_until = this->clock + span;
}

void virtual_fleet::kill_companion(std::size_t index)
{
    this->companions[index]->core.reset();
}

void virtual_fleet::start_companion(std::size_t index)
{
    this->companions[index]->start();
}

void virtual_fleet::freeze_companion(std::size_t index, duration span)
{
    companion_node& node = *this->companions[index];
    node.frozen_until = this->clock + span;
    this->at(
        node.frozen_until,
        [this, &node]
        {
            const auto waiting = std::exchange(node.frozen_datagrams, {});
            for (const auto& datagram : waiting)
            {
                this->deliver_internal(node.id, datagram);
            }
        });
}

void virtual_fleet::drain_companion(std::size_t index)
{
    this->companions[index]->core->start_drain(this->clock);
}

std::size_t virtual_fleet::add_companion(std::size_t domain)
{
    const std::size_t index = this->companions.size();
    this->companions.push_back(
        std::make_unique<companion_node>(*this, index, domain));
    companion_node& node = *this->companions.back();
    node.upstream.cold_until = this->clock + this->options.upstream_cold_time;
    node.start();
    return index;
}

void virtual_fleet::restart_upstream(std::size_t index)
{
    fake_upstream& upstream = this->companions[index]->upstream;
    ++upstream.epoch;
    upstream.works.clear();
    upstream.observers.clear();
    upstream.cold_until = this->clock + this->options.upstream_cold_time;
}

void virtual_fleet::set_faults(const link_faults& faults)
{
    this->options.faults = faults;
}

void virtual_fleet::set_cut(instance_id first, instance_id second, bool cut)
{
    for (const auto& pair :
         {std::pair(first, second), std::pair(second, first)})
    {
        if (cut)
        {
            this->cuts.insert(pair);
        }
        else
        {
            this->cuts.erase(pair);
        }
    }
}

std::size_t virtual_fleet::post(std::size_t caller)
{
    return this->start_request(caller, coap_code::post);
}

std::size_t virtual_fleet::get(std::size_t caller)
{
    return this->start_request(caller, coap_code::get);
}

void virtual_fleet::inject(
    std::size_t caller, std::size_t entry, const bytes& datagram)
{
    if (this->entries[entry]->core)
    {
        this->entries[entry]->core->on_caller_packet(
            this->clock,
            {this->caller_address(caller), make_service_id(virtual_service)},
            datagram, {});
    }
}

void virtual_fleet::watch(std::size_t index)
{
    caller_node& caller = *this->callers[index];
    caller.watch = {};
    caller.watch.last_news = this->clock;
    caller_node::exchange item;
    item.is_watch = true;
    item.request.code = coap_code::get;
    item.request.token = this->next_token();
    item.request.message_id = caller.next_message_id++;
    item.request.set_uint(coap_option_number::observe, 0);
    item.request.add_text(coap_option_number::uri_path, "board");
    caller.watch_token = item.request.token;
    const bytes token = item.request.token;
    caller.exchanges[token] = item;
    this->caller_send(caller, token);
}

void virtual_fleet::publish()
{
    ++this->board_version;
    for (auto& node : this->companions)
    {
        for (const auto& [token, request] : node->upstream.observers)
        {
            if (node->upstream.alive && !node->upstream.silent)
            {
                this->upstream_answer(
                    *node, request, coap_code::content, "board", true);
            }
        }
    }
}

const watch_track& virtual_fleet::watch_of(std::size_t caller) const
{
    return this->callers[caller]->watch;
}

fake_upstream& virtual_fleet::upstream(std::size_t index)
{
    return this->companions[index]->upstream;
}

companion_core* virtual_fleet::companion(std::size_t index)
{
    return this->companions[index]->core.get();
}

entry_core* virtual_fleet::entry(std::size_t index)
{
    return this->entries[index]->core.get();
}

instance_id virtual_fleet::companion_id(std::size_t index) const
{
    return companion_address(index);
}

instance_id virtual_fleet::entry_id(std::size_t index) const
{
    return entry_address(index);
}

std::vector<std::string> virtual_fleet::violations() const
{
    std::vector<std::string> result;
    for (std::size_t i = 0; i < this->tracks.size(); ++i)
    {
        const request_track& item = this->tracks[i];
        const std::string name = "request " + std::to_string(i) + " (" +
                                 item.text + ", executed " +
                                 std::to_string(item.executions) + " times)";
        if (item.idempotent)
        {
            continue;
        }
        if (item.executions > 1)
        {
            result.push_back(name + ": ran more than once");
        }
        if (item.end == request_end::not_run && item.executions > 0)
        {
            result.push_back(name + ": told not run, but it ran");
        }
        if (item.end == request_end::done && item.executions == 0)
        {
            result.push_back(name + ": told done, but it did not run");
        }
    }
    return result;
}

std::size_t virtual_fleet::count(request_end end) const
{
    return static_cast<std::size_t>(std::count_if(
        this->tracks.begin(), this->tracks.end(),
        [end](const request_track& item) { return item.end == end; }));
}

std::uint64_t virtual_fleet::events(event_kind kind) const
{
    return this->sink->counts.at(static_cast<std::size_t>(kind));
}

std::uint64_t virtual_fleet::entry_refusals() const
{
    std::uint64_t result = 0;
    for (const auto& node : this->entries)
    {
        result += node->refusals;
    }
    return result;
}

const bytes& virtual_fleet::echo_of(std::size_t caller) const
{
    return this->callers[caller]->echo;
}

endpoint virtual_fleet::caller_address(std::size_t index) const
{
    return {caller_network + static_cast<std::uint32_t>(index), 4000};
}

void virtual_fleet::at(time_point when, std::function<void()> run)
{
    this->queue.push_back({when, this->next_order++, std::move(run)});
    std::push_heap(this->queue.begin(), this->queue.end(), std::greater<>{});
}

void virtual_fleet::link(
    instance_id from, instance_id to, const std::function<void()>& deliver)
{
    const link_faults& faults = this->options.faults;
    std::uniform_real_distribution<double> chance(0, 1);
    std::uniform_int_distribution<std::int64_t> delay(
        faults.shortest_delay.count(), faults.longest_delay.count());
    const bool lost =
        this->cuts.contains({from, to}) || chance(this->random) < faults.loss;
    const int copies = chance(this->random) < faults.duplication ? 2 : 1;
    for (int i = 0; i < copies && !lost; ++i)
    {
        this->at(this->clock + duration(delay(this->random)), deliver);
    }
}

void virtual_fleet::send_internal(
    instance_id from, instance_id to, byte_view datagram)
{
    const bytes copy(datagram.begin(), datagram.end());
    this->link(
        from, to, [this, to, copy] { this->deliver_internal(to, copy); });
}

void virtual_fleet::deliver_internal(instance_id to, const bytes& datagram)
{
    failure_reason reason;
    for (auto& node : this->entries)
    {
        const bool takes =
            node->id == to && node->core && this->clock >= node->frozen_until;
        if (takes)
        {
            const auto received = node->wire->decode(datagram, reason);
            if (received)
            {
                node->core->on_message(
                    this->clock, received->header, received->body);
            }
        }
    }
    for (auto& node : this->companions)
    {
        if (node->id != to || !node->core)
        {
            continue;
        }
        if (this->clock < node->frozen_until)
        {
            node->frozen_datagrams.push_back(datagram);
            continue;
        }
        const auto received = node->wire->decode(datagram, reason);
        if (received)
        {
            node->core->on_message(
                this->clock, received->header, received->body);
        }
    }
}

void virtual_fleet::tick_all()
{
    for (auto& node : this->entries)
    {
        if (node->core && this->clock >= node->frozen_until)
        {
            node->core->on_tick(this->clock);
        }
    }
    for (auto& node : this->companions)
    {
        if (node->core && this->clock >= node->frozen_until)
        {
            node->core->on_tick(this->clock);
        }
        this->upstream_tick(*node);
    }
    for (std::size_t i = 0; i < this->callers.size(); ++i)
    {
        this->caller_tick(i);
    }
    this->at(this->clock + tick_interval, [this] { this->tick_all(); });
}

void virtual_fleet::upstream_receive(
    companion_node& node, const coap_message& message)
{
    fake_upstream& upstream = node.upstream;
    if (!upstream.alive)
    {
        return;
    }
    ++upstream.packets;
    upstream.last_packet = this->clock;
    if (message.path() == "/masticslip/cancel")
    {
        upstream.works.erase(message.token);
        upstream.observers.erase(message.token);
        return;
    }
    if (message.find_uint(coap_option_number::observe) == 1U)
    {
        upstream.observers.erase(message.token);
        return;
    }
    if (!message.is_request())
    {
        return;
    }
    const auto in_flight =
        static_cast<std::uint32_t>(upstream.works.size()) + 1;
    upstream.peak = std::max(upstream.peak, in_flight);
    if (this->clock < upstream.cold_until)
    {
        upstream.peak_cold = std::max(upstream.peak_cold, in_flight);
        if (in_flight > cold_collapse)
        {
            ++upstream.collapses;
            this->restart_upstream(node.index);
            upstream.alive = false;
            this->at(
                this->clock + collapse_time,
                [&upstream] { upstream.alive = true; });
            return;
        }
    }
    const std::string id = text_of(message.payload);
    if (!id.empty())
    {
        ++this->tracks[std::stoul(id)].deliveries;
    }
    fake_upstream::work item;
    item.request = message;
    item.deadline =
        this->clock +
        std::chrono::milliseconds(
            message.find_uint(coap_option_number::deadline).value_or(60000));
    upstream.works[message.token] = item;
}

void virtual_fleet::upstream_tick(companion_node& node)
{
    fake_upstream& upstream = node.upstream;
    if (!upstream.alive)
    {
        return;
    }
    const bool cold = this->clock < upstream.cold_until;
    const std::uint32_t slots = cold ? 1 : this->options.upstream_slots;
    upstream.busy_time +=
        double(upstream.works.size()) * double(tick_interval.count());
    std::uint32_t running = 0;
    std::vector<bytes> finished;
    for (auto& [token, item] : upstream.works)
    {
        if (!item.running && running < slots)
        {
            item.running = true;
            item.ends = this->clock +
                        this->options.service_time * (cold ? cold_slowdown : 1);
        }
        running += item.running ? 1 : 0;
        if (item.running && this->clock >= item.ends)
        {
            finished.push_back(token);
        }
    }
    for (const bytes& token : finished)
    {
        const auto entry = upstream.works.extract(token);
        if (this->clock <= entry.mapped().deadline)
        {
            ++upstream.completed;
            this->upstream_execute(node, entry.mapped().request);
        }
    }
    if (this->clock >= node.next_announcement && node.core &&
        this->clock >= node.frozen_until)
    {
        node.next_announcement = this->clock + announce_interval;
        node.core->on_announcement(
            this->clock, {upstream.service, upstream.epoch, upstream.draining});
    }
}

void virtual_fleet::upstream_execute(
    companion_node& node, const coap_message& request)
{
    if (request.path() == "/board")
    {
        node.upstream.observers[request.token] = request;
        this->upstream_answer(node, request, coap_code::content, "board", true);
        return;
    }
    const std::string id = text_of(request.payload);
    ++this->tracks[std::stoul(id)].executions;
    if (!node.upstream.silent)
    {
        this->upstream_answer(node, request, coap_code::changed, "ok", false);
    }
}

void virtual_fleet::upstream_answer(
    companion_node& node,
    const coap_message& request,
    coap_code code,
    const std::string& text,
    bool observe)
{
    coap_message answer;
    answer.type = coap_type::non_confirmable;
    answer.code = code;
    answer.token = request.token;
    answer.payload = bytes_of(text);
    if (observe)
    {
        answer.set_uint(coap_option_number::observe, this->board_version);
    }
    const bytes datagram = this->codec.encode(answer);
    this->at(
        this->clock,
        [this, &node, datagram]
        {
            if (node.core && this->clock >= node.frozen_until)
            {
                node.core->on_upstream_datagram(this->clock, datagram);
            }
        });
}

std::size_t virtual_fleet::start_request(std::size_t index, coap_code code)
{
    caller_node& caller = *this->callers[index];
    const std::size_t number = this->tracks.size();
    request_track track;
    track.caller = index;
    track.started = this->clock;
    track.idempotent = code == coap_code::get;
    this->tracks.push_back(track);
    caller_node::exchange item;
    item.track = number;
    item.request.code = code;
    item.request.token = this->next_token();
    item.request.message_id = caller.next_message_id++;
    item.request.add_text(coap_option_number::uri_path, "signup");
    item.request.payload = bytes_of(std::to_string(number));
    if (code != coap_code::get)
    {
        item.request.set(
            coap_option_number::request_tag, bytes_of(std::to_string(number)));
        if (!caller.echo.empty())
        {
            item.request.set(coap_option_number::echo, caller.echo);
        }
    }
    const bytes token = item.request.token;
    caller.exchanges[token] = item;
    this->caller_send(caller, token);
    return number;
}

bytes virtual_fleet::next_token()
{
    return detail::make_upstream_token(this->next_token_value++);
}

void virtual_fleet::caller_send(caller_node& caller, const bytes& token)
{
    caller_node::exchange& item = caller.exchanges.at(token);
    item.repeat_at = this->clock + caller_timeout * (1U << item.transmissions);
    ++item.transmissions;
    std::uniform_int_distribution<std::size_t> pick(
        0, this->entries.size() - 1);
    const std::size_t entry = pick(this->random);
    const bytes datagram = this->codec.encode(item.request);
    const std::size_t index = caller.index;
    this->link(
        {}, this->entries[entry]->id,
        [this, index, entry, datagram]
        {
            if (this->clock >= this->entries[entry]->frozen_until)
            {
                this->inject(index, entry, datagram);
            }
        });
}

void virtual_fleet::caller_receive(std::size_t index, const bytes& datagram)
{
    caller_node& caller = *this->callers[index];
    const auto message = this->codec.decode(datagram);
    if (!message || !message->is_response())
    {
        return;
    }
    if (this->on_delivery)
    {
        this->on_delivery(index, *message);
    }
    if (const auto* echo = message->find(coap_option_number::echo))
    {
        caller.echo = echo->value;
    }
    if (message->type == coap_type::confirmable)
    {
        coap_message ack;
        ack.type = coap_type::acknowledgement;
        ack.message_id = message->message_id;
        const bytes answer = this->codec.encode(ack);
        std::uniform_int_distribution<std::size_t> pick(
            0, this->entries.size() - 1);
        const std::size_t entry = pick(this->random);
        this->link(
            {}, this->entries[entry]->id,
            [this, index, entry, answer]
            { this->inject(index, entry, answer); });
    }
    const auto found = caller.exchanges.find(message->token);
    if (found != caller.exchanges.end())
    {
        caller_node::exchange& item = found->second;
        const bool wants_echo = message->code == coap_code::unauthorized &&
                                item.echo_rounds < max_echo_rounds;
        if (wants_echo)
        {
            if (message->message_id == item.request.message_id)
            {
                ++item.echo_rounds;
                item.request.set(coap_option_number::echo, caller.echo);
                item.request.message_id = caller.next_message_id++;
                item.transmissions = 0;
                this->caller_send(caller, message->token);
            }
            return;
        }
        this->finish_request(caller, message->token, &*message);
    }
    if (message->token != caller.watch_token)
    {
        return;
    }
    watch_track& watch = caller.watch;
    const auto observe = message->find_uint(coap_option_number::observe);
    if (!observe)
    {
        watch.ended = true;
        watch.end_text = text_of(message->payload);
        return;
    }
    watch.established = true;
    if (*observe <= watch.last_observe)
    {
        ++watch.stale;
        return;
    }
    watch.longest_gap =
        std::max(watch.longest_gap, this->clock - watch.last_news);
    watch.last_news = this->clock;
    watch.last_observe = *observe;
    ++watch.notifications;
}

void virtual_fleet::caller_tick(std::size_t index)
{
    caller_node& caller = *this->callers[index];
    std::vector<bytes> due;
    for (const auto& [token, item] : caller.exchanges)
    {
        if (this->clock >= item.repeat_at)
        {
            due.push_back(token);
        }
    }
    for (const bytes& token : due)
    {
        if (caller.exchanges.at(token).transmissions >= max_transmissions)
        {
            this->finish_request(caller, token, nullptr);
            continue;
        }
        this->caller_send(caller, token);
    }
}

void virtual_fleet::finish_request(
    caller_node& caller, const bytes& token, const coap_message* answer)
{
    const auto node = caller.exchanges.extract(token);
    if (node.mapped().is_watch)
    {
        return;
    }
    request_track& track = this->tracks[node.mapped().track];
    track.ended = this->clock;
    if (answer == nullptr)
    {
        track.end = request_end::no_answer;
        return;
    }
    track.text = text_of(answer->payload);
    track.retry_after =
        answer->find_uint(coap_option_number::max_age).value_or(0);
    switch (answer->code)
    {
    case coap_code::service_unavailable:
    case coap_code::unauthorized:
    case coap_code::incomplete:
        track.end = request_end::not_run;
        break;
    case coap_code::gateway_timeout:
        track.end = request_end::unknown;
        break;
    default:
        track.end = request_end::done;
        break;
    }
}

} // namespace masticslip::testing
