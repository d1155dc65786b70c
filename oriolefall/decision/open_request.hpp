#ifndef ORIOLEFALL_DECISION_OPEN_REQUEST_HPP
#define ORIOLEFALL_DECISION_OPEN_REQUEST_HPP

#include "oriolefall/core/request.hpp"
#include "oriolefall/core/tier.hpp"
#include "oriolefall/decision/server_table.hpp"
#include "oriolefall/scheduling/fair_queue.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace oriolefall::decision {

enum class request_state : std::uint8_t
{
    arrived,  ///< neither claiming, queued nor running
    claiming, ///< waits for its key to be claimed
    queued,   ///< waits for a server
    running,  ///< has an open call
    backoff   ///< waits before a retry
};

/// A request that has arrived and is not finished.
struct open_request
{
    core::request request;
    std::uint32_t class_index = 0;
    route_index route = 0;
    core::tier tier = core::tier::standard;
    request_state state = request_state::arrived;
    bool idempotent = true;
    /// The claim of its key was granted.
    bool is_claimed = false;
    bool caller_gone = false;
    /// An earlier call may have run.
    bool may_have_run = false;
    /// Its call was cancelled because the deadline passed.
    bool is_timed_out = false;
    absl::Time arrived_at;
    absl::Time deadline;
    /// Its entry in the queue of its route.
    scheduling::waiting_request queue_entry;
    /// When a request in state `claiming` or `backoff` continues.
    absl::Time wake_at = absl::InfiniteFuture();
    std::uint32_t attempts = 0;
    /// Tokens that the caller has received.
    std::uint64_t delivered_tokens = 0;
    core::call_id call;
    std::optional<server_index> failed_server;
    /// Reason for which its last call or claim failed.
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
    /// Tokens of the answer so far, counted from its start.
    std::uint64_t tokens = 0;
    bool has_first_byte = false;
    /// The server is in another region, so the bytes are billed.
    bool is_cross_region = false;
};

} // namespace oriolefall::decision

#endif
