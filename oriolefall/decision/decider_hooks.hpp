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

/// A backend server that could take a request.
struct placement_view
{
    std::uint32_t slots = 1;
    /// Calls of this instance at it.
    std::uint32_t in_flight = 0;
    /// Calls of others that its reports tell of, weighted by their age.
    double other_calls = 0.0;
    /// Usual step time relative to the peers'.
    double slowness = 1.0;
    /// It was sent the same prompt head not long ago.
    bool has_recent_prefix = false;
    /// It is the home of the prompt head.
    bool is_affinity_server = false;
    /// The last call of this request failed there.
    bool has_failed_before = false;
    std::partial_ordering operator<=>(const placement_view&) const = default;
};

/// What an admission estimate is made from; times in seconds of server time.
struct admission_view
{
    core::tier tier = core::tier::standard;
    /// Slots that can be used.
    double slots = 0.0;
    double free_slots = 0.0;
    /// Free slots kept for higher tiers.
    double reserved_slots = 0.0;
    /// Waiting work that goes first.
    double queued_ahead_s = 0.0;
    /// Expected time of one call of the kind that runs.
    double service_time_s = 0.0;
    /// Slots that arriving requests of higher tiers take.
    double higher_tier_slots = 0.0;
    /// Part of the slots that the class is sure of.
    double minimum_share = 0.0;
    std::partial_ordering operator<=>(const admission_view&) const = default;
};

/// How a call of a request ended, for the retry rule.
struct retry_view
{
    core::verdict verdict;
    bool idempotent = true;
    /// Calls made so far.
    std::uint32_t attempts = 0;
    std::uint32_t max_attempts = 0;
    /// Tokens that the caller has.
    std::uint64_t delivered_tokens = 0;
    bool can_resume = false;
    bool has_retry_budget = false;
    /// Until the deadline.
    absl::Duration remaining_time;
    std::strong_ordering operator<=>(const retry_view&) const = default;
};

enum class retry_kind : std::uint8_t
{
    give_up,
    restart, ///< from the start
    resume   ///< from the tokens that the caller has
};

struct retry_decision
{
    retry_kind kind = retry_kind::give_up;
    /// Why, when given up.
    core::reason cause = core::reason::attempts_spent;
    /// Mean wait before the next call; jitter is added to it.
    absl::Duration backoff = absl::ZeroDuration();
    std::strong_ordering operator<=>(const retry_decision&) const = default;
};

/// Score of a candidate, lower is better.
using placement_score_hook = std::function<double(const placement_view&)>;
/// Expected wait before the first call.
using admission_estimate_hook =
    std::function<absl::Duration(const admission_view&)>;
/// What follows a call that did not give the whole answer. A request that is
/// not idempotent and may have run is never tried again, whatever it says.
using retry_rule_hook = std::function<retry_decision(const retry_view&)>;

/// The parts of the decisions that vary; set once, at construction.
struct decider_hooks
{
    placement_score_hook placement_score;
    admission_estimate_hook admission_estimate;
    retry_rule_hook retry_rule;
};

/// The hooks that are used where none are given.
[[nodiscard]] decider_hooks default_hooks(const decider_settings& settings);

} // namespace oriolefall::decision

#endif
