#include "config_store.hpp"

#include "masticslip_keys.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace masticslip
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

constexpr int outcome_attempts = 5;
constexpr std::chrono::milliseconds outcome_interval = 200ms;

audit_record make_audit(
    const change_request& request,
    const configuration& before,
    const configuration& after,
    const std::string& document)
{
    audit_record record;
    record.number = after.number;
    record.change_id = request.id;
    record.operator_name = request.operator_name;
    record.reason = request.reason;
    record.requested_at = request.requested_at;
    record.differences = describe_differences(before, after);
    record.document_hash = hash_text(document);
    record.previous_hash = after.change.previous_hash;
    return record;
}

change_record
make_change(const change_request& request, const std::string& previous_hash)
{
    return {request.id, request.operator_name, request.reason, previous_hash};
}

std::vector<put_operation>
make_puts(const std::string& document, const audit_record& record)
{
    return {
        {configuration_key, document},
        {audit_key(record.number), serialize_audit(record)}};
}

failure_reason make_unavailable(const std::string& text)
{
    return {result_code::config_store_unavailable, text};
}

change_result make_result(result_code code, std::string text)
{
    change_result result;
    result.code = code;
    result.text = std::move(text);
    return result;
}

} // namespace

asio::awaitable<std::optional<stored_configuration>>
config_store::read(failure_reason& reason)
{
    const auto found = co_await this->client.range(configuration_key, "");
    if (!found)
    {
        reason = make_unavailable(this->client.last_reason());
        co_return std::nullopt;
    }
    stored_configuration result;
    if (found->empty())
    {
        co_return result;
    }
    auto parsed = parse_configuration(found->front().value, reason);
    if (!parsed)
    {
        co_return std::nullopt;
    }
    result.value = std::move(*parsed);
    result.text = found->front().value;
    result.revision = found->front().mod_revision;
    co_return result;
}

asio::awaitable<change_result>
config_store::change(change_request request, configuration_edit edit)
{
    failure_reason reason;
    const auto before = co_await this->read(reason);
    if (!before)
    {
        co_return make_result(reason.code, reason.text);
    }
    const auto hash = co_await this->previous_hash(before->value.number);
    if (!hash)
    {
        co_return make_result(
            result_code::config_store_unavailable, this->client.last_reason());
    }
    configuration after = before->value;
    if (!edit(after, reason))
    {
        co_return make_result(reason.code, reason.text);
    }
    after.number = before->value.number + 1;
    after.change = make_change(request, *hash);
    const auto checked = check_configuration(after, reason);
    if (!checked)
    {
        co_return make_result(reason.code, reason.text);
    }
    change_result result;
    result.number = after.number;
    result.document = serialize_configuration(*checked);
    if (result.document.size() > max_document_size)
    {
        co_return make_result(
            result_code::config_invalid,
            "$: larger than " + std::to_string(max_document_size) + " bytes");
    }
    const audit_record record =
        make_audit(request, before->value, after, result.document);
    conditional_write write;
    write.compared_key = configuration_key;
    write.expected_revision = before->revision;
    write.puts = make_puts(result.document, record);
    const write_outcome outcome = co_await this->client.write(write);
    if (outcome == write_outcome::applied)
    {
        result.code = result_code::config_accepted;
        co_return result;
    }
    const change_result found =
        co_await this->find_outcome_with_retries(request.id, after.number);
    result.code = found.code;
    result.text = found.text;
    co_return result;
}

asio::awaitable<change_result>
config_store::find_outcome(std::string change_id, generation number)
{
    const auto found = co_await this->client.range(audit_key(number), "");
    if (!found)
    {
        co_return make_result(
            result_code::config_undecided,
            "the store did not respond: " + this->client.last_reason());
    }
    if (found->empty())
    {
        co_return make_result(
            result_code::config_undecided,
            "generation " + std::to_string(number) +
                " is not written yet; the write may still arrive");
    }
    failure_reason reason;
    const auto record = parse_audit(found->front().value, reason);
    if (!record)
    {
        co_return make_result(reason.code, reason.text);
    }
    if (record->change_id == change_id)
    {
        change_result result = make_result(result_code::config_accepted, "");
        result.number = number;
        co_return result;
    }
    co_return make_result(
        result_code::config_conflict, "generation " + std::to_string(number) +
                                          " is change " + record->change_id +
                                          " of " + record->operator_name +
                                          " (" + record->reason + ")");
}

asio::awaitable<change_result> config_store::find_outcome_with_retries(
    std::string change_id, generation number)
{
    change_result result;
    for (int attempt = 0; attempt < outcome_attempts; ++attempt)
    {
        result = co_await this->find_outcome(change_id, number);
        if (result.code != result_code::config_undecided)
        {
            co_return result;
        }
        asio::steady_timer timer(
            co_await asio::this_coro::executor, outcome_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return result;
}

asio::awaitable<std::optional<std::vector<std::string>>>
config_store::read_audit(failure_reason& reason)
{
    const auto found =
        co_await this->client.range(audit_prefix, prefix_end(audit_prefix));
    if (!found)
    {
        reason = make_unavailable(this->client.last_reason());
        co_return std::nullopt;
    }
    std::vector<std::string> result;
    for (const auto& item : *found)
    {
        result.push_back(item.value);
    }
    co_return result;
}

asio::awaitable<std::optional<std::string>>
config_store::previous_hash(generation number)
{
    if (number == 0)
    {
        co_return "";
    }
    const auto found = co_await this->client.range(audit_key(number), "");
    if (!found)
    {
        co_return std::nullopt;
    }
    co_return found->empty() ? "" : hash_text(found->front().value);
}

} // namespace masticslip
