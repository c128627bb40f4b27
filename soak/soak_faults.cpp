// Faults of processes and of the store, and operator actions.

#include "soak_slots.hpp"

#include "node/flow_node.hpp"

#include <algorithm>
#include <csignal>

namespace masticslip::soak
{

using namespace std::chrono_literals;
using namespace masticslip::standin;

namespace
{

/// Time for which the store is away while it is restored.
constexpr std::chrono::milliseconds restore_time{300};

} // namespace

void soak_world::supervise()
{
    const time_point now = this->queue.now();
    for (auto& slot : this->nodes)
    {
        if (slot->process->is_running())
        {
            continue;
        }
        slot->down_until =
            std::max(slot->down_until, now + slot->restart_pause);
        slot->restart_pause = {};
        if (now >= slot->down_until)
        {
            slot->process->start();
        }
    }
    this->queue.after(supervise_interval, [this] { this->supervise(); });
}

void soak_world::disturb(std::size_t node, duration time)
{
    time_point& until = this->nodes[node]->disturbed_until;
    until = std::max(until, this->queue.now() + time + fault_settle_time);
    this->postpone_withdrawals(time + fault_settle_time);
}

void soak_world::disturb_store(duration time)
{
    this->store_disturbed_until = std::max(
        this->store_disturbed_until,
        this->queue.now() + time + fault_settle_time);
}

bool soak_world::is_disturbed(std::size_t node) const
{
    return this->queue.now() < this->nodes[node]->disturbed_until;
}

void soak_world::postpone_withdrawals(duration time)
{
    for (const auto& domain : this->withdrawn)
    {
        this->promises.on_withdrawn(domain, this->queue.now() + time);
    }
}

void soak_world::kill_process(std::size_t index, std::chrono::milliseconds down)
{
    node_slot& slot = *this->nodes[index];
    this->disturb(index, down + restart_delay);
    slot.down_until = this->queue.now() + down + restart_delay;
    slot.process->signal(SIGKILL);
}

void soak_world::stop_process(
    std::size_t index, std::chrono::milliseconds pause)
{
    // supervise() restarts it once it has exited.
    this->nodes[index]->process->signal(SIGTERM);
    this->nodes[index]->restart_pause = pause;
}

void soak_world::reload_process(std::size_t index)
{
    this->nodes[index]->process->signal(SIGHUP);
}

void soak_world::pause_process(
    std::size_t index, std::chrono::milliseconds time)
{
    this->disturb(index, time);
    this->nodes[index]->process->signal(SIGSTOP);
    this->queue.after(
        time, [this, index] { this->nodes[index]->process->signal(SIGCONT); });
}

void soak_world::degrade_store_link(
    std::size_t index, proxy_mode mode, std::chrono::milliseconds time)
{
    this->disturb(index, time);
    this->set_link_mode(index, mode, time);
}

void soak_world::set_link_mode(
    std::size_t node, proxy_mode mode, std::chrono::milliseconds time)
{
    node_slot& slot = *this->nodes[node];
    slot.proxy->set_mode(mode);
    slot.link_fault_until =
        std::max(slot.link_fault_until, this->queue.now() + time);
    this->queue.after(
        time,
        [this, &slot]
        {
            if (this->queue.now() >= slot.link_fault_until)
            {
                slot.proxy->set_mode(proxy_mode::pass);
            }
        });
}

void soak_world::turn_companion_away(
    std::size_t host, proxy_mode mode, std::chrono::milliseconds time)
{
    const std::size_t node = this->hosts[host]->node;
    this->set_link_mode(node, mode, time);
    this->disturb_store(time);
    this->store.expire_lease_of(
        member_prefix() + this->nodes[node]->process->label());
}

void soak_world::inject_store_fault(
    store_fault fault, std::chrono::milliseconds time)
{
    this->disturb_store(time);
    this->store.fault = fault;
    this->store.delay = 500ms;
    this->store_fault_until =
        std::max(this->store_fault_until, this->queue.now() + time);
    this->store_degraded_until = std::max(
        this->store_degraded_until,
        this->queue.now() + time + fault_settle_time);
    this->postpone_withdrawals(time + fault_settle_time);
    this->queue.after(
        time,
        [this]
        {
            if (this->queue.now() >= this->store_fault_until)
            {
                this->store.fault = store_fault::none;
            }
        });
}

void soak_world::drop_store_history()
{
    this->store.compact();
}

void soak_world::expire_store_leases()
{
    this->disturb_store({});
    this->store.expire_all_leases();
}

void soak_world::restore_store_copy(
    std::chrono::milliseconds age, std::chrono::milliseconds rewrite)
{
    this->inject_store_fault(store_fault::busy, restore_time);
    // A withdrawal that the copy lacks, and that no running process knows,
    // takes effect once operators have written it again.
    this->store_degraded_until = std::max(
        this->store_degraded_until,
        this->queue.now() + restore_time + rewrite + fault_settle_time);
    this->postpone_withdrawals(restore_time + rewrite + fault_settle_time);
    this->queue.after(
        restore_time,
        [this, age, rewrite]
        {
            this->disturb_store(rewrite);
            this->store.restore_copy(age);
            this->queue.after(
                rewrite, [this] { this->repeat_operator_writes(); });
        });
}

void soak_world::withdraw(std::uint32_t domain)
{
    this->withdrawn.insert(domain_name(domain));
    this->store.write(withdrawal_key(domain_name(domain)), "{}");
    // A faulty store or a disturbed process learns of the withdrawal late.
    time_point since = std::max(this->queue.now(), this->store_degraded_until);
    for (const auto& slot : this->nodes)
    {
        since = std::max(since, slot->disturbed_until);
    }
    this->promises.on_withdrawn(domain_name(domain), since);
}

void soak_world::restore(std::uint32_t domain)
{
    this->withdrawn.erase(domain_name(domain));
    this->store.remove(withdrawal_key(domain_name(domain)));
    this->promises.on_restored(domain_name(domain));
}

void soak_world::change_configuration()
{
    this->write_configuration();
}

void soak_world::write_entry(const std::string& key, const std::string& value)
{
    this->store.write(key, value);
}

std::string soak_world::log_file(std::size_t index) const
{
    return this->nodes.at(index)->process->log_file();
}

} // namespace masticslip::soak
