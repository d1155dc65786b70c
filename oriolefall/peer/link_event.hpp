#ifndef ORIOLEFALL_PEER_LINK_EVENT_HPP
#define ORIOLEFALL_PEER_LINK_EVENT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/peer/message.hpp"
#include "oriolefall/peer/refusal.hpp"

#include <compare>
#include <cstdint>
#include <variant>

namespace oriolefall::peer {

/// An authenticated connection to an instance is open.
struct peer_opened
{
    core::instance_id instance;
    std::uint64_t incarnation = 0;
    /// Negotiated version of the inner protocol.
    std::uint32_t version = 0;
    auto operator<=>(const peer_opened&) const = default;
};

/// The connection to an instance is no longer open.
struct peer_closed
{
    core::instance_id instance;
    refusal reason = refusal::connection_lost;
    auto operator<=>(const peer_closed&) const = default;
};

/// A message was received from an instance.
struct peer_message
{
    core::instance_id from;
    peer::message message;
    std::strong_ordering operator<=>(const peer_message&) const = default;
};

using link_event = std::variant<peer_opened, peer_closed, peer_message>;

} // namespace oriolefall::peer

#endif
