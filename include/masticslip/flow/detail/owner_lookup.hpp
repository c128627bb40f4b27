#pragma once
/// State of a lookup of the owner of a flow.

#include "masticslip/flow/detail/entry_flow_limits.hpp"
#include "masticslip/flow/flow_loss.hpp"

#include <cstdint>
#include <vector>

namespace masticslip::detail
{

/// How the companion was found to which a flow is assigned.
enum class owner_source : std::uint8_t
{
    answer, ///< It has answered that its upstream holds the flow.
    hint,   ///< Another companion has named it.
    trial   ///< It cannot tell; the upstream's answer to a packet will.
};

/// Stable name for logs.
constexpr std::string_view to_string(owner_source source)
{
    switch (source)
    {
    case owner_source::answer:
        return "answer";
    case owner_source::hint:
        return "hint";
    case owner_source::trial:
        break;
    }
    return "trial";
}

/// A companion is in at most one of the lists. Not thread-safe.
struct owner_lookup
{
    /// Service of the flow's route.
    service_id service;
    /// Companions of other services that may hold the flow are queried, too:
    /// the route may have named them when it was opened.
    bool covers_other_services = false;
    std::vector<bytes> packets;
    std::uint32_t acknowledged = 0;
    bool has_payload = false;
    owner_state owner_status = owner_state::unknown;
    time_point started;
    time_point deadline;
    /// Queried in the present round, and in earlier ones, without an answer so
    /// far.
    std::vector<instance_id> pending;
    std::vector<instance_id> unanswered;
    std::vector<instance_id> uncertain;
    std::vector<instance_id> absent;
    std::size_t rounds = 0;
    /// Queries and trial packets that were sent.
    std::uint32_t queries = 0;
    std::uint32_t trials = 0;

    [[nodiscard]] bool is_queried(instance_id id) const
    {
        return contains(this->pending, id) || contains(this->unanswered, id) ||
               contains(this->uncertain, id) || contains(this->absent, id);
    }

    /// Puts the companion into one of the lists only.
    void move_to(std::vector<instance_id>& list, instance_id id)
    {
        for (auto* ids :
             {&this->pending, &this->unanswered, &this->uncertain,
              &this->absent})
        {
            std::erase(*ids, id);
        }
        list.push_back(id);
    }
};

} // namespace masticslip::detail
