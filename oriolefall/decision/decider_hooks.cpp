#include "oriolefall/decision/decider_hooks.hpp"

#include <algorithm>
#include <cmath>
#include <variant>

namespace oriolefall::decision {

namespace {

constexpr double previous_failure_penalty = 2.0;
constexpr double max_slowness = 4.0;
constexpr unsigned max_doublings = 10;

double score_of(const placement_settings& settings, const placement_view& view)
{
    const double load = (view.in_flight + view.other_calls) / view.slots;
    double score = load * std::clamp(view.slowness, 1.0, max_slowness);
    if (view.has_recent_prefix)
        score -= settings.recent_prefix_bonus;
    else if (view.is_affinity_server)
        score -= settings.affinity_server_bonus;
    if (view.has_failed_before)
        score += previous_failure_penalty;
    return score;
}

absl::Duration estimate_wait(const admission_view& view)
{
    if (view.slots <= 0.0)
        return absl::InfiniteDuration();
    if (view.queued_ahead_s <= 0.0 && view.free_slots > view.reserved_slots)
        return absl::ZeroDuration();
    const double guaranteed = std::max(view.minimum_share, 0.01) * view.slots;
    const double usable_slots =
        std::max(guaranteed, view.slots - view.higher_tier_slots);
    return absl::Seconds((view.queued_ahead_s + view.service_time_s) /
                         usable_slots);
}

absl::Duration backoff_of(const retry_settings& settings,
                          std::uint32_t attempts)
{
    const unsigned doublings =
        std::min(attempts == 0 ? 0 : attempts - 1, max_doublings);
    return std::min(settings.base_backoff * double(1U << doublings),
                    settings.max_backoff);
}

retry_decision decide_retry(const retry_settings& settings,
                            const retry_view& view)
{
    if (view.attempts >= view.max_attempts)
        return {retry_kind::give_up, core::reason::attempts_spent};
    if (!view.has_retry_budget)
        return {retry_kind::give_up, core::reason::retry_budget_spent};
    if (view.delivered_tokens > 0) {
        if (view.can_resume)
            return {retry_kind::resume, {}, absl::ZeroDuration()};
        return {retry_kind::give_up, core::reason::connection_lost};
    }
    const absl::Duration backoff = backoff_of(settings, view.attempts);
    if (backoff >= view.remaining_time)
        return {retry_kind::give_up, core::reason::deadline_passed};
    const bool was_refused =
        std::holds_alternative<core::not_run>(view.verdict);
    if (was_refused || view.idempotent)
        return {retry_kind::restart, {}, backoff};
    return {retry_kind::give_up, core::reason::connection_lost};
}

} // namespace

decider_hooks default_hooks(const decider_settings& settings)
{
    return decider_hooks{
        .placement_score =
            [placement = settings.placement](const placement_view& view) {
                return score_of(placement, view);
            },
        .admission_estimate = estimate_wait,
        .retry_rule =
            [retry = settings.retry](const retry_view& view) {
                return decide_retry(retry, view);
            }};
}

} // namespace oriolefall::decision
