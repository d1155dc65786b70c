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

/// Send a request to a backend server. `call_ended` answers it.
struct start_call
{
    core::call_id call;
    core::request_id request;
    core::backend_server_id server;
    /// Tokens that the caller already has; the stream goes on after them.
    std::uint64_t resume_from = 0;
    core::tier priority = core::tier::standard;
    /// Longest time without a byte before the connection counts as silent.
    absl::Duration gap_timeout = absl::InfiniteDuration();
    /// When the call is to be given up.
    absl::Time deadline = absl::InfiniteFuture();
    std::strong_ordering operator<=>(const start_call&) const = default;
};

/// Stop a call and free what it holds at the server.
struct cancel_call
{
    core::call_id call;
    auto operator<=>(const cancel_call&) const = default;
};

/// Ask the fleet for the right to run a request at most once.
struct claim_key
{
    core::request_id request;
    core::workspace_id workspace;
    core::idempotency_key key;
    auto operator<=>(const claim_key&) const = default;
};

/// Keep the outcome of a claimed key for those who repeat it.
struct record_outcome
{
    core::workspace_id workspace;
    core::idempotency_key key;
    core::verdict verdict;
    auto operator<=>(const record_outcome&) const = default;
};

/// End a request. Exactly once for each `request_arrived`.
struct finish_request
{
    core::request_id request;
    core::verdict verdict;
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const finish_request&) const = default;
};

/// A step of a decision, for `explain` and for counters.
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
    share_granted ///< goes ahead of others by its class's minimum share
};

/// The name used in logs, metrics and explanations.
[[nodiscard]] std::string_view to_string(step_kind kind);
/// True when `decision_noted::cause` has a meaning for this kind.
[[nodiscard]] bool has_cause(step_kind kind);

struct record_decision
{
    core::request_id request = {};
    step_kind kind = step_kind::queued;
    /// Server concerned; empty where there is none.
    core::backend_server_id server = {};
    /// Cause of a retry or refusal; of no meaning for `queued` and `placed`.
    core::reason cause = core::reason::queue_full;
    /// Score of the choice, lower is better; 0 where there is none.
    double score = 0.0;
    std::partial_ordering operator<=>(const record_decision&) const = default;
};

using action = std::variant<start_call, cancel_call, claim_key, record_outcome,
                            finish_request, record_decision>;

} // namespace oriolefall::decision

#endif
