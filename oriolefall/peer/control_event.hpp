#ifndef ORIOLEFALL_PEER_CONTROL_EVENT_HPP
#define ORIOLEFALL_PEER_CONTROL_EVENT_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/membership/event.hpp"
#include "oriolefall/peer/link_command.hpp"
#include "oriolefall/peer/link_event.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <compare>
#include <variant>
#include <vector>

namespace oriolefall::peer {

/// Settings objects were read from the platform.
struct settings_read
{
    std::vector<settings::tree_object> objects;
    auto operator<=>(const settings_read&) const = default;
};

/// Sends a message to all linked instances.
struct message_to_peers
{
    peer::message message;
    std::strong_ordering operator<=>(const message_to_peers&) const = default;
};

/// An event that another duty posts to the control duty.
using control_event =
    std::variant<link_event, settings_read, membership::platform_listed,
                 membership::leave_requested, outgoing_message,
                 message_to_peers>;
using control_ring = core::bounded_ring<control_event>;

} // namespace oriolefall::peer

#endif
