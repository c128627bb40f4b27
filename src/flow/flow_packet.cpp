#include "masticslip/flow/flow_packet.hpp"

namespace masticslip
{

std::uint64_t hash_flow_endpoints(const flow_endpoints& flow)
{
    return hash_pair(flow.caller.packed(), flow.target.packed());
}

std::string to_string(const flow_endpoints& flow)
{
    return to_string(flow.caller) + ">" + to_string(flow.target);
}

} // namespace masticslip
