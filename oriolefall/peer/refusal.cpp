#include "oriolefall/peer/refusal.hpp"

#include <algorithm>
#include <cstddef>

namespace oriolefall::peer {

namespace {
constexpr std::array<std::string_view, refusal_count> names{
    "malformed",         "oversized",        "unknown_message",
    "wrong_version",     "unauthenticated",  "unexpected_instance",
    "handshake_timeout", "connection_limit", "duplicate",
    "connect_failed",    "connection_lost",  "silent",
    "not_connected",     "queue_full",       "ring_full"};
} // namespace

std::string_view to_string(refusal value)
{
    return names.at(static_cast<std::size_t>(value));
}

std::array<refusal, refusal_count> all_refusals()
{
    std::array<refusal, refusal_count> all{};
    std::ranges::generate(all, [next = std::uint8_t{0}]() mutable {
        return static_cast<refusal>(next++);
    });
    return all;
}

} // namespace oriolefall::peer
