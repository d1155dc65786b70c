#include "oriolefall/decision/server_health.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {
constexpr std::uint32_t max_doublings = 16;
/// Successful calls after which earlier ejections are forgotten.
constexpr std::uint32_t reset_after_successes = 50;
} // namespace

server_health::server_health(const ejection_settings& settings)
    : settings_(settings)
{
}

void server_health::on_token_interval(absl::Time now, double ratio)
{
    if (window_samples_ == 0) {
        window_start_ = now;
        window_min_ratio_ = ratio;
    }
    ++window_samples_;
    window_min_ratio_ = std::min(window_min_ratio_, ratio);
    if (window_samples_ < settings_.min_samples ||
        now - window_start_ < settings_.slow_window)
        return;
    slowness_ = window_min_ratio_;
    window_samples_ = 0;
}

void server_health::on_success()
{
    failures_ = 0;
    ++successes_;
    if (state_ == health_state::probing &&
        successes_ >= settings_.probe_successes)
        state_ = health_state::healthy;
    if (successes_ >= reset_after_successes)
        ejections_in_a_row_ = 0;
}

void server_health::on_failure()
{
    ++failures_;
    successes_ = 0;
}

bool server_health::is_outlier() const
{
    if (state_ == health_state::ejected)
        return false;
    const bool is_probing = state_ == health_state::probing;
    const std::uint32_t failures =
        is_probing ? 1 : settings_.consecutive_failures;
    const bool is_slow = slowness_ > settings_.slow_ratio;
    return failures_ >= failures || is_slow;
}

void server_health::eject(absl::Time now)
{
    assert(state_ != health_state::ejected);
    const double doublings = 1U << std::min(ejections_in_a_row_, max_doublings);
    ejected_until_ = now + std::min(settings_.base_ejection_time * doublings,
                                    settings_.max_ejection_time);
    ++ejections_in_a_row_;
    state_ = health_state::ejected;
}

void server_health::start_probe()
{
    assert(state_ == health_state::ejected);
    state_ = health_state::probing;
    slowness_ = 1.0;
    window_samples_ = 0;
    failures_ = 0;
    successes_ = 0;
}

} // namespace oriolefall::decision
