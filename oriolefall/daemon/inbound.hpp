#ifndef ORIOLEFALL_DAEMON_INBOUND_HPP
#define ORIOLEFALL_DAEMON_INBOUND_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/front/handlers.hpp"

#include <variant>

namespace oriolefall::daemon {

/// An input of the decider thread: a new request or an event.
using inbound = std::variant<front::submission, decision::event>;
using inbound_ring = core::bounded_ring<inbound>;

} // namespace oriolefall::daemon

#endif
