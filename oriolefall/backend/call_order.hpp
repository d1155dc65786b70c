#ifndef ORIOLEFALL_BACKEND_CALL_ORDER_HPP
#define ORIOLEFALL_BACKEND_CALL_ORDER_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"

#include <functional>
#include <optional>

namespace oriolefall::backend {

/// One call to make: the decision and what it needs to be carried out.
struct call_order
{
    decision::start_call call;
    core::backend_server server;
    core::payload_ptr payload;
    std::optional<core::idempotency_key> key;
    core::answer_ring_ptr answers;
    /// Takes the end of the call; called exactly once, by a lane's thread.
    /// Must not block.
    std::function<void(const decision::call_ended&)> ended;
};

} // namespace oriolefall::backend

#endif
