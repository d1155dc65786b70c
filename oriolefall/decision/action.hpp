#ifndef ORIOLEFALL_DECISION_ACTION_HPP
#define ORIOLEFALL_DECISION_ACTION_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/reason.hpp"
#include "oriolefall/core/tier.hpp"
#include "oriolefall/core/verdict.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace oriolefall::decision {

/// Start a call of a request at a backend server. Answered by exactly one
/// `call_ended`.
struct start_call
{
    core::call_id call;
    core::request_id request;
    core::backend_server_id server;
    /// Tokens that the caller already has; the server continues the stream
    /// after them.
    std::uint64_t resume_from = 0;
    core::tier priority = core::tier::standard;
    /// Longest time without a byte before the call is given up as stalled.
    absl::Duration gap_timeout = absl::InfiniteDuration();
    /// Point in time at which the call is given up.
    absl::Time deadline = absl::InfiniteFuture();
    std::strong_ordering operator<=>(const start_call&) const = default;
};

/// Cancel a call and free the resources that it holds at the server.
struct cancel_call
{
    core::call_id call;
    auto operator<=>(const cancel_call&) const = default;
};

/// Claim an idempotency key in the fleet, so that its request runs at most
/// once. Answered by `key_claimed`.
struct claim_key
{
    core::request_id request;
    core::workspace_id workspace;
    core::idempotency_key key;
    auto operator<=>(const claim_key&) const = default;
};

/// Store the outcome of a claimed key for later requests with the same key.
struct record_outcome
{
    core::workspace_id workspace;
    core::idempotency_key key;
    core::verdict verdict;
    auto operator<=>(const record_outcome&) const = default;
};

/// Finish a request. Emitted exactly once for each `request_arrived`.
struct finish_request
{
    core::request_id request;
    core::verdict verdict;
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const finish_request&) const = default;
};

/// Kind of a decision record, for `explain` and for metrics.
enum class step_kind : std::uint8_t
{
    queued,
    placed,
    retried,
    resumed,
    ejected,
    probed,
    refused,
    cancelled,
    share_granted ///< served first for its class's minimum share
};

/// The name written to logs, metrics and explanations.
[[nodiscard]] std::string_view to_string(step_kind kind);
/// True if `record_decision::cause` is meaningful for this kind.
[[nodiscard]] bool has_cause(step_kind kind);

struct record_decision
{
    core::request_id request = {};
    step_kind kind = step_kind::queued;
    /// The server concerned; empty if there is none.
    core::backend_server_id server = {};
    /// Cause of a retry or refusal; meaningless for `queued` and `placed`.
    core::reason cause = core::reason::queue_full;
    /// Placement score of the chosen server, lower is better; 0 if there is
    /// none.
    double score = 0.0;
    std::partial_ordering operator<=>(const record_decision&) const = default;
};

using action = std::variant<start_call, cancel_call, claim_key, record_outcome,
                            finish_request, record_decision>;

} // namespace oriolefall::decision

#endif
