#ifndef ORIOLEFALL_DECISION_OPEN_REQUEST_HPP
#define ORIOLEFALL_DECISION_OPEN_REQUEST_HPP

#include "oriolefall/core/request.hpp"
#include "oriolefall/core/tier.hpp"
#include "oriolefall/decision/fair_queue.hpp"
#include "oriolefall/decision/server_table.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace oriolefall::decision {

enum class request_state : std::uint8_t
{
    arrived,  ///< not decided yet
    claiming, ///< waits for the right to run
    queued,   ///< waits for a server
    running,  ///< has a call
    backoff   ///< waits before it is tried again
};

/// A request that was taken and has not ended.
struct open_request
{
    core::request request;
    std::uint32_t class_index = 0;
    route_index route = 0;
    core::tier tier = core::tier::standard;
    request_state state = request_state::arrived;
    bool idempotent = true;
    /// The right to run it was granted.
    bool is_claimed = false;
    bool caller_gone = false;
    /// An earlier call may have run.
    bool may_have_run = false;
    /// Its call is cancelled because the deadline passed.
    bool is_timed_out = false;
    absl::Time arrived_at;
    absl::Time deadline;
    /// Its place in the queue.
    waiting_request queue_entry;
    /// When a `claiming` or `backoff` request goes on.
    absl::Time wake_at = absl::InfiniteFuture();
    std::uint32_t attempts = 0;
    /// Tokens that the caller has.
    std::uint64_t delivered_tokens = 0;
    core::call_id call;
    std::optional<server_index> failed_server;
    /// How its last call ended.
    core::reason last_cause = core::reason::attempts_spent;

    [[nodiscard]] bool is_resuming() const
    {
        return delivered_tokens > 0;
    }
};

/// A call that was started and has not ended.
struct open_call
{
    open_request* request = nullptr;
    server_index server = 0;
    absl::Time started_at;
    absl::Time last_byte_at;
    /// Tokens of the answer so far, from its start.
    std::uint64_t tokens = 0;
    bool has_first_byte = false;
    /// It crosses regions, so its bytes are paid for.
    bool is_cross_region = false;
};

} // namespace oriolefall::decision

#endif
