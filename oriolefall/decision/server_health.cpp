#include "oriolefall/decision/server_health.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {
constexpr std::uint32_t most_doublings = 16;
/// Good calls after which earlier ejections are forgotten.
constexpr std::uint32_t forgiven_after = 50;
} // namespace

server_health::server_health(const ejection_settings& settings)
    : settings_(settings)
{
}

void server_health::on_step(absl::Time now, double ratio)
{
    if (window_steps_ == 0) {
        window_start_ = now;
        window_fastest_ = ratio;
    }
    ++window_steps_;
    window_fastest_ = std::min(window_fastest_, ratio);
    if (window_steps_ < settings_.least_samples ||
        now - window_start_ < settings_.window)
        return;
    slowness_ = window_fastest_;
    window_steps_ = 0;
}

void server_health::on_success()
{
    failures_ = 0;
    ++successes_;
    if (state_ == health_state::probing &&
        successes_ >= settings_.probe_successes)
        state_ = health_state::good;
    if (successes_ >= forgiven_after)
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
    const bool probing = state_ == health_state::probing;
    const std::uint32_t failures = probing ? 1 : settings_.failures;
    const bool slow = slowness_ > settings_.slow_ratio;
    return failures_ >= failures || slow;
}

void server_health::eject(absl::Time now)
{
    assert(state_ != health_state::ejected);
    const double doublings = 1U
                             << std::min(ejections_in_a_row_, most_doublings);
    out_until_ =
        now + std::min(settings_.base_time * doublings, settings_.longest_time);
    ++ejections_in_a_row_;
    state_ = health_state::ejected;
}

void server_health::probe()
{
    assert(state_ == health_state::ejected);
    state_ = health_state::probing;
    slowness_ = 1.0;
    window_steps_ = 0;
    failures_ = 0;
    successes_ = 0;
}

} // namespace oriolefall::decision
