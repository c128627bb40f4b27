#pragma once
/// CoAP codec based on the parser and option encoder of libcoap. It uses no
/// libcoap session or socket.

#include "masticslip/core/coap_codec.hpp"

namespace masticslip
{

/// Thread-safe.
class libcoap_codec final : public coap_codec
{
public:
    libcoap_codec();

    [[nodiscard]] std::optional<coap_message>
    decode(byte_view datagram) const override;

    [[nodiscard]] bytes encode(const coap_message& message) const override;
};

} // namespace masticslip
