#ifndef ORIOLEFALL_DAEMON_INBOUND_HPP
#define ORIOLEFALL_DAEMON_INBOUND_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/front/handlers.hpp"

#include <variant>

namespace oriolefall::daemon {

/// What the decider's thread takes from its ring.
using inbound = std::variant<front::submission, decision::event>;
using inbound_ring = core::bounded_ring<inbound>;

} // namespace oriolefall::daemon

#endif
