#include "masticslip/core/execution_records.hpp"

#include <xxhash.h>

#include <iterator>

std::size_t std::hash<masticslip::request_key>::operator()(
    const masticslip::request_key& key) const
{
    return XXH3_64bits_withSeed(
        key.tag.data(), key.tag.size(), masticslip::hash_flow(key.flow));
}

namespace masticslip
{

namespace
{

/// Appends a digest of what a repetition of the request has in common with it.
void append_content_digest(bytes& tag, const coap_message& request)
{
    bytes content{static_cast<std::uint8_t>(request.code)};
    for (const coap_option& option : request.options)
    {
        if (option.number == coap_option_number::echo ||
            option.number == coap_option_number::deadline)
        {
            continue;
        }
        content.push_back(static_cast<std::uint8_t>(option.number >> 8U));
        content.push_back(static_cast<std::uint8_t>(option.number));
        content.push_back(static_cast<std::uint8_t>(option.value.size() >> 8U));
        content.push_back(static_cast<std::uint8_t>(option.value.size()));
        content.insert(content.end(), option.value.begin(), option.value.end());
    }
    content.insert(
        content.end(), request.payload.begin(), request.payload.end());
    XXH128_canonical_t digest;
    XXH128_canonicalFromHash(
        &digest, XXH3_128bits(content.data(), content.size()));
    tag.insert(tag.end(), std::begin(digest.digest), std::end(digest.digest));
}

} // namespace

request_key make_request_key(const flow_key& flow, const coap_message& request)
{
    request_key key{flow, {}};
    const auto* tag = request.find(coap_option_number::request_tag);
    key.tag = tag != nullptr ? tag->value : request.token;
    key.tag.push_back(tag != nullptr ? 1 : 0);
    if (tag == nullptr)
    {
        append_content_digest(key.tag, request);
    }
    if (const auto* block = request.find(coap_option_number::block1))
    {
        key.tag.insert(key.tag.end(), block->value.begin(), block->value.end());
    }
    return key;
}

request_digest make_digest(const request_key& key)
{
    const XXH128_hash_t digest = XXH3_128bits_withSeed(
        key.tag.data(), key.tag.size(), hash_flow(key.flow));
    return {digest.high64, digest.low64};
}

const execution_record* execution_records::find(const request_key& key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

bool execution_records::begin(time_point now, const request_key& key)
{
    if (this->records.size() >= this->capacity)
    {
        return false;
    }
    this->records[key] = {std::nullopt, std::nullopt, now + this->window};
    return true;
}

void execution_records::finish(
    time_point now, const request_key& key, const coap_message& answer)
{
    const auto found = this->records.find(key);
    if (found == this->records.end())
    {
        return;
    }
    found->second.answer = answer;
    found->second.expires = now + this->window;
    this->expiries.push_back({found->second.expires, key});
}

bool execution_records::transfer(
    time_point now, const request_key& key, instance_incarnation target)
{
    // A request that the upstream refused has a record already.
    const auto known = this->records.find(key);
    if (known == this->records.end() && !this->begin(now, key))
    {
        return false;
    }
    auto& record = this->records[key];
    record.expires = now + this->window;
    record.transferred_to = target;
    this->expiries.push_back({record.expires, key});
    return true;
}

void execution_records::expire(time_point now)
{
    while (!this->expiries.empty() && this->expiries.front().when <= now)
    {
        const auto found = this->records.find(this->expiries.front().key);
        if (found != this->records.end() && found->second.expires <= now)
        {
            this->records.erase(found);
        }
        this->expiries.pop_front();
    }
}

} // namespace masticslip
