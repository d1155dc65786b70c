#ifndef ORIOLEFALL_PEER_LINK_COMMAND_HPP
#define ORIOLEFALL_PEER_LINK_COMMAND_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/peer/message.hpp"

#include <compare>
#include <variant>
#include <vector>

namespace oriolefall::peer {

/// An instance and the endpoint at which it listens for other instances. An
/// empty `instance` stands for any instance that listens there.
struct peer_address
{
    core::instance_id instance;
    core::endpoint endpoint;
    auto operator<=>(const peer_address&) const = default;
};

/// Sends a message to one instance.
struct outgoing_message
{
    core::instance_id to;
    peer::message message;
    std::strong_ordering operator<=>(const outgoing_message&) const = default;
};

/// Sets the instances to which the link keeps connections; replaces the
/// previous set.
struct desired_peers
{
    std::vector<peer_address> peers;
    auto operator<=>(const desired_peers&) const = default;
};

using link_command = std::variant<outgoing_message, desired_peers>;
using link_ring = core::bounded_ring<link_command>;

} // namespace oriolefall::peer

#endif
