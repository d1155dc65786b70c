#ifndef ORIOLEFALL_BACKEND_CALL_TASK_HPP
#define ORIOLEFALL_BACKEND_CALL_TASK_HPP

#include "oriolefall/core/answer.hpp"
#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/event.hpp"

#include <functional>
#include <optional>

namespace oriolefall::backend {

/// One call for a worker thread: the decision to make it and its inputs.
struct call_task
{
    decision::start_call call;
    core::backend_server server;
    core::payload_ptr payload;
    std::optional<core::idempotency_key> key;
    core::answer_ring_ptr answers;
    /// Receives the outcome of the call. Called exactly once, on a worker
    /// thread; must not block.
    std::function<void(const decision::call_ended&)> on_ended;
};

} // namespace oriolefall::backend

#endif
