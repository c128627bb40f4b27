#include "masticslip/core/detail/request_filters.hpp"

namespace masticslip::detail
{

namespace
{

/// Handles requests that carry an Echo value of, or were transferred to,
/// another companion that has since retired.
class retired_request_handler
{
public:
    retired_request_handler(
        companion_context& context,
        const retirement_controller& retirement,
        request_actions& actions)
        : context(context), retirement(retirement), actions(actions)
    {
    }

    /// Handles a request with an Echo value of another companion. Returns
    /// false if that companion has not retired.
    bool handle_echo(const request_context& request, const echo_claim& claim)
    {
        const auto known = this->retirement.find(
            claim.companion, claim.incarnation_number, request.key);
        if (!known.is_retired)
        {
            return false;
        }
        if (known.record != nullptr)
        {
            this->handle_record(request, *known.record);
        }
        else if (claim.issued < known.complete_since)
        {
            this->actions.answer_unknown(
                request, result_code::unknown_record_expired);
        }
        else
        {
            this->actions.require_echo(request);
        }
        return true;
    }

    /// Transfers a request again to the same companion, or uses the record that
    /// it sent on retiring. Any record that it made is newer than the one held
    /// here, so it cannot have expired while that one is kept.
    void retransfer(const request_context& request, instance_incarnation target)
    {
        const auto known = this->retirement.find(
            target.id, target.incarnation_number, request.key);
        if (!known.is_retired)
        {
            this->actions.transfer_again(request, target);
        }
        else if (known.record != nullptr)
        {
            this->handle_record(request, *known.record);
        }
        else
        {
            this->actions.require_echo(request);
        }
    }

private:
    void
    handle_record(const request_context& request, const retired_request& record)
    {
        const auto answer = this->context.codec.decode(record.answer);
        const bool was_transferred = record.transferred_to.id != instance_id{};
        const bool reachable =
            was_transferred &&
            !this->retirement
                 .find(
                     record.transferred_to.id,
                     record.transferred_to.incarnation_number, request.key)
                 .is_retired;
        if (answer)
        {
            this->actions.repeat_answer(request, *answer);
        }
        else if (reachable)
        {
            this->actions.transfer_again(request, record.transferred_to);
        }
        else
        {
            this->actions.answer_unknown(
                request, result_code::unknown_companion_gone);
        }
    }

    companion_context& context;
    const retirement_controller& retirement;
    request_actions& actions;
};

/// Handles repeated requests.
class duplicate_filter final : public request_filter
{
public:
    duplicate_filter(
        companion_context& context,
        execution_records& records,
        const retirement_controller& retirement,
        request_actions& actions)
        : context(context), records(records),
          retired(context, retirement, actions), actions(actions)
    {
    }

    bool pass(const request_context& request) override
    {
        const execution_record* record = this->records.find(request.key);
        const bool recorded =
            request.request.is_non_idempotent() && record != nullptr;
        if (!recorded)
        {
            const bool is_free = !this->actions.is_in_progress(request);
            if (!is_free)
            {
                this->actions.withhold_ambiguous_answer(request);
            }
            return is_free;
        }
        this->context.report(
            request.now, event_kind::request_repeated, request.flow());
        if (record->answer)
        {
            // A confirmable request's answer carries its message id.
            const bool is_ambiguous =
                request.request.type == coap_type::non_confirmable &&
                this->actions.is_in_progress(request);
            if (!is_ambiguous)
            {
                this->actions.repeat_answer(request, *record->answer);
            }
        }
        else if (record->transferred_to)
        {
            this->retired.retransfer(request, *record->transferred_to);
        }
        return false;
    }

private:
    companion_context& context;
    execution_records& records;
    retired_request_handler retired;
    request_actions& actions;
};

/// Passes a non-idempotent request only at the companion incarnation that
/// issued its Echo value, or to which it was transferred.
class echo_filter final : public request_filter
{
public:
    echo_filter(
        companion_context& context,
        const retirement_controller& retirement,
        request_actions& actions)
        : context(context), retired(context, retirement, actions),
          actions(actions)
    {
    }

    bool pass(const request_context& request) override
    {
        if (!request.request.is_non_idempotent())
        {
            return true;
        }
        const auto* option = request.request.find(coap_option_number::echo);
        const auto claim = option != nullptr
                               ? this->context.issuer.verify(option->value)
                               : std::nullopt;
        if (!claim)
        {
            this->actions.require_echo(request);
            return false;
        }
        if (request.message.mode == forward_mode::transfer)
        {
            return this->pass_transferred(request);
        }
        if (claim->companion != this->context.settings.self)
        {
            this->handle_foreign(request, *claim);
            return false;
        }
        return this->pass_own(request, *claim);
    }

private:
    /// The Echo value names another companion.
    void handle_foreign(const request_context& request, const echo_claim& claim)
    {
        if (!this->retired.handle_echo(request, claim))
        {
            this->actions.send_to_bound(request, claim);
        }
    }

    bool pass_transferred(const request_context& request)
    {
        if (request.message.target_incarnation ==
            this->context.settings.incarnation_number)
        {
            return true;
        }
        // A previous incarnation of this companion may have executed it.
        this->actions.answer_unknown(
            request, result_code::unknown_companion_gone);
        return false;
    }

    bool pass_own(const request_context& request, const echo_claim& claim)
    {
        const auto& settings = this->context.settings;
        if (claim.incarnation_number != settings.incarnation_number)
        {
            this->actions.answer_unknown(
                request, result_code::unknown_companion_gone);
            return false;
        }
        const duration age = request.now - claim.issued;
        if (age > settings.record_window)
        {
            this->actions.answer_unknown(
                request, result_code::unknown_record_expired);
            return false;
        }
        if (age > settings.echo_max_age)
        {
            // Records of requests with this Echo value have not expired yet.
            // This one has no record, so it was not executed.
            this->actions.require_echo(request);
            return false;
        }
        return true;
    }

    companion_context& context;
    retired_request_handler retired;
    request_actions& actions;
};

/// Transfers or refuses new work while the companion does not accept any.
class drain_filter final : public request_filter
{
public:
    drain_filter(
        companion_context& context,
        ownership_controller& ownership,
        request_actions& actions)
        : context(context), ownership(ownership), actions(actions)
    {
    }

    bool pass(const request_context& request) override
    {
        if (this->context.accepts_new_work())
        {
            return true;
        }
        if (this->may_finish_transfer(request))
        {
            return true;
        }
        const bool transferred =
            request.may_transfer() && this->actions.transfer(request);
        if (!transferred)
        {
            this->actions.refuse(request, this->reason());
        }
        return false;
    }

private:
    /// True for the next block of a block-wise transfer in progress here.
    bool may_finish_transfer(const request_context& request)
    {
        const owned_flow* flow = this->ownership.find(request.flow());
        return request.continues_block_transfer() && flow != nullptr &&
               flow->block_transfer_until > request.now &&
               this->context.upstream_present && !this->context.is_withdrawn();
    }

    [[nodiscard]] result_code reason() const
    {
        return this->context.is_withdrawn()
                   ? result_code::not_run_domain_withdrawn
                   : result_code::not_run_no_upstream;
    }

    companion_context& context;
    ownership_controller& ownership;
    request_actions& actions;
};

/// Transfers or refuses requests above the concurrency limit.
class admission_filter final : public request_filter
{
public:
    admission_filter(companion_context& context, request_actions& actions)
        : context(context), actions(actions)
    {
    }

    bool pass(const request_context& request) override
    {
        this->context.retries.on_request();
        if (this->context.in_flight < this->context.limit->limit())
        {
            return true;
        }
        const bool can_transfer =
            !request.continues_block_transfer() && request.may_transfer();
        const bool transferred = can_transfer &&
                                 this->context.retries.try_acquire() &&
                                 this->actions.transfer(request);
        if (!transferred)
        {
            this->actions.refuse(request, result_code::not_run_overloaded);
        }
        return false;
    }

private:
    companion_context& context;
    request_actions& actions;
};

} // namespace

bool request_context::continues_block_transfer() const
{
    const auto upload = this->request.find_uint(coap_option_number::block1);
    const auto download = this->request.find_uint(coap_option_number::block2);
    return (upload && decode_block(*upload).number > 0) ||
           (download && decode_block(*download).number > 0);
}

std::vector<std::unique_ptr<request_filter>> make_request_filters(
    companion_context& context,
    execution_records& records,
    ownership_controller& ownership,
    const retirement_controller& retirement,
    request_actions& actions)
{
    std::vector<std::unique_ptr<request_filter>> chain;
    chain.push_back(std::make_unique<duplicate_filter>(
        context, records, retirement, actions));
    chain.push_back(
        std::make_unique<echo_filter>(context, retirement, actions));
    chain.push_back(
        std::make_unique<drain_filter>(context, ownership, actions));
    chain.push_back(std::make_unique<admission_filter>(context, actions));
    return chain;
}

} // namespace masticslip::detail
