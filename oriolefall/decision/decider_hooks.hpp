#ifndef ORIOLEFALL_DECISION_DECIDER_HOOKS_HPP
#define ORIOLEFALL_DECISION_DECIDER_HOOKS_HPP

#include "oriolefall/core/tier.hpp"
#include "oriolefall/core/verdict.hpp"
#include "oriolefall/decision/decider_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace oriolefall::decision {

/// A candidate server for a call.
struct placement_view
{
    std::uint32_t slots = 1;
    /// Open calls of this instance at the server.
    std::uint32_t in_flight = 0;
    /// Calls of other instances according to the server's load reports,
    /// weighted by the age of the report.
    double other_calls = 0.0;
    /// Time between tokens relative to that of the route's other servers.
    double slowness = 1.0;
    /// The server was recently sent the same prompt prefix.
    bool has_recent_prefix = false;
    /// The server is the affinity server of the prompt prefix.
    bool is_affinity_server = false;
    /// The previous call of this request failed at the server.
    bool has_failed_before = false;
    std::partial_ordering operator<=>(const placement_view&) const = default;
};

/// Input of an admission estimate; times are seconds of service time.
struct admission_view
{
    core::tier tier = core::tier::standard;
    /// Slots of the usable servers.
    double slots = 0.0;
    double free_slots = 0.0;
    /// Free slots reserved for higher tiers.
    double reserved_slots = 0.0;
    /// Service time of the queued requests that are served first.
    double queued_ahead_s = 0.0;
    /// Expected service time of a call of this route.
    double service_time_s = 0.0;
    /// Slots that arriving requests of higher tiers are expected to take.
    double higher_tier_slots = 0.0;
    /// Share of the slots that is guaranteed to the class.
    double minimum_share = 0.0;
    std::partial_ordering operator<=>(const admission_view&) const = default;
};

/// State of a request after a call without a complete answer.
struct retry_view
{
    core::verdict verdict;
    bool idempotent = true;
    /// Calls started so far.
    std::uint32_t attempts = 0;
    std::uint32_t max_attempts = 0;
    /// Tokens that the caller has received.
    std::uint64_t delivered_tokens = 0;
    bool can_resume = false;
    bool has_retry_budget = false;
    /// Time until the deadline.
    absl::Duration remaining_time;
    std::strong_ordering operator<=>(const retry_view&) const = default;
};

enum class retry_kind : std::uint8_t
{
    give_up,
    restart, ///< a new call from the start
    resume   ///< continue after the delivered tokens
};

struct retry_decision
{
    retry_kind kind = retry_kind::give_up;
    /// The reason, if the request is given up.
    core::reason cause = core::reason::attempts_spent;
    /// Mean wait before the next call, before jitter.
    absl::Duration backoff = absl::ZeroDuration();
    std::strong_ordering operator<=>(const retry_decision&) const = default;
};

/// Placement score of a candidate server, lower is better.
using placement_score_hook = std::function<double(const placement_view&)>;
/// Estimated wait of a request before its first call.
using admission_estimate_hook =
    std::function<absl::Duration(const admission_view&)>;
/// Decides what follows a call without a complete answer. A request that is not
/// idempotent and may have run is never retried, whatever the hook returns.
using retry_rule_hook = std::function<retry_decision(const retry_view&)>;

/// Replaceable policies of the decider, set at construction.
struct decider_hooks
{
    placement_score_hook placement_score;
    admission_estimate_hook admission_estimate;
    retry_rule_hook retry_rule;
};

/// The hooks used where none are given.
[[nodiscard]] decider_hooks default_hooks(const decider_settings& settings);

} // namespace oriolefall::decision

#endif
