#include "oriolefall/dispatch/server_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::dispatch {

namespace {

constexpr double percent = 100;
/// Weight of the assumption that half of a pause grows with the calls, against
/// observed differences in the number of calls.
constexpr double pause_prior_weight = 4;
/// Late streams count at this share of the limit at least, so that one that was
/// late for another reason than the load does not lower the limit to a few.
constexpr double min_late_share = 0.5;
/// A stream that was in time confirms the limit at this share of it.
constexpr double confirming_share = 0.75;
/// First events whose own prompt takes longer than this share of the target say
/// nothing about the number of calls.
constexpr double max_prompt_share = 0.5;

scheduling::limit_settings limit_settings_of(const capacity_settings& settings,
                                             std::uint32_t slots)
{
    scheduling::limit_settings limit;
    limit.decrease_factor = settings.decrease_factor;
    limit.decrease_interval = settings.decrease_interval;
    limit.min_limit =
        std::max(settings.min_call_limit, settings.min_limit_per_slot * slots);
    limit.increase_per_second =
        std::max(settings.increase_share_per_second * slots, 0.5);
    return limit;
}

/// Factor by which a weight decays in `time`. Small ones are 0, since most
/// servers were not heard of lately and placement asks all of them.
double decay_in(absl::Duration time, absl::Duration time_constant)
{
    constexpr double negligible_after = 8;
    if (time > time_constant * negligible_after)
        return 0;
    return std::exp(-absl::FDivDuration(std::max(time, absl::ZeroDuration()),
                                        time_constant));
}

double half_life_decay(absl::Duration time, absl::Duration half_life)
{
    return std::exp2(
        -absl::FDivDuration(std::max(time, absl::ZeroDuration()), half_life));
}

/// Share that is forgotten of what was not observed for `idle`.
double forgotten_share(absl::Duration idle, absl::Duration after,
                       absl::Duration time_constant)
{
    return idle <= after || idle == absl::InfiniteDuration()
               ? 0
               : 1 - decay_in(idle - after, time_constant);
}

bool is_valid_time(double ms)
{
    return std::isfinite(ms) && ms > 0;
}

} // namespace

void pause_estimate::record(double decay, double calls, double pause_ms)
{
    weight_ = weight_ * decay + 1;
    calls_ = calls_ * decay + calls;
    squared_calls_ = squared_calls_ * decay + calls * calls;
    pauses_ = pauses_ * decay + pause_ms;
    products_ = products_ * decay + calls * pause_ms;
}

double pause_estimate::at(double calls) const
{
    if (weight_ <= 0)
        return 0;
    const double mean_calls = std::max(calls_ / weight_, 1.0);
    const double mean_pause = pauses_ / weight_;
    const double variance =
        std::max(squared_calls_ - calls_ * calls_ / weight_, 0.0);
    const double covariance = products_ - calls_ * pauses_ / weight_;
    const double usual_slope = mean_pause / mean_calls / 2;
    const double slope =
        std::max((covariance + pause_prior_weight * usual_slope) /
                     (variance + pause_prior_weight),
                 0.0);
    return std::max(mean_pause + slope * (calls - mean_calls), 0.0);
}

server_capacity::server_capacity(const capacity_settings& settings,
                                 std::uint32_t slots)
    : settings_(settings), slots_(std::max(slots, 1U)),
      limit_(limit_settings_of(settings, std::max(slots, 1U)),
             std::max(slots, 1U)),
      call_ms_(settings.initial_call_ms)
{
}

void server_capacity::set_slots(std::uint32_t slots)
{
    slots_ = std::max(slots, 1U);
    limit_.set_slots(std::max(slots, 1U));
}

void server_capacity::set_initial_scale(double scale)
{
    if (std::isfinite(scale))
        scale_sum_ = scale_weight_ * std::clamp(scale, settings_.min_scale,
                                                settings_.max_scale);
}

void server_capacity::record_work(absl::Time now, std::uint32_t work_percent)
{
    if (work_percent < settings_.min_work_percent ||
        work_percent > settings_.max_work_percent)
        return;
    work_ = std::clamp(work_percent / percent, settings_.min_scale,
                       settings_.max_scale);
    work_received_at_ = now;
}

void server_capacity::record_first_event(absl::Time now,
                                         const first_event& event)
{
    if (!is_valid_time(event.nominal_ms) || !is_valid_time(event.measured_ms))
        return;
    const double ratio =
        std::clamp(event.measured_ms / (event.nominal_ms * fast_scale(now)),
                   settings_.min_scale, settings_.max_scale);
    const double decay =
        half_life_decay(
            std::min(now - scale_observed_at_, settings_.max_observation_gap),
            settings_.scale_half_life) *
        (1 - forgotten_scale(now, scale_observed_at_));
    scale_sum_ = scale_sum_ * decay + ratio;
    scale_weight_ = scale_weight_ * decay + 1;
    scale_observed_at_ = now;

    const double target_ms = absl::ToDoubleMilliseconds(event.target);
    const double prompt_ms = event.nominal_prompt_ms * time_scale(now);
    if (prompt_ms < max_prompt_share * target_ms &&
        event.measured_ms - prompt_ms > target_ms)
        record_late(now, event.calls);
}

void server_capacity::record_stream(absl::Time now,
                                    const finished_stream& stream)
{
    const double decay =
        half_life_decay(
            std::min(now - stream_ended_at_, settings_.max_observation_gap),
            settings_.pause_half_life) *
        (1 - forgotten_scale(now, stream_ended_at_));
    stream_ended_at_ = now;
    call_ms_ = call_ms_ * decay +
               (1 - decay) * absl::ToDoubleMilliseconds(stream.duration);
    const double calls = (stream.calls_at_start + stream.calls_at_end) / 2;
    if (stream.longest_gap <= absl::ZeroDuration())
        return;
    const double scale = time_scale(now);
    mean_pause_.record(decay, calls,
                       absl::ToDoubleMilliseconds(stream.mean_gap) / scale);
    long_pause_.record(decay, calls,
                       absl::ToDoubleMilliseconds(stream.longest_gap) / scale);

    if (stream.gap_target <= shortest_gap_target(now)) {
        shortest_gap_target_ = stream.gap_target;
        gap_target_seen_at_ = now;
    }
    if (stream.longest_gap > stream.gap_target)
        record_late(now, std::max(stream.calls_at_start, stream.calls_at_end));
    else if (stream.longest_gap <= shortest_gap_target_)
        record_in_time(now,
                       std::min(stream.calls_at_start, stream.calls_at_end));
}

void server_capacity::record_late(absl::Time now, double calls)
{
    limit_.forget(forgotten_limit(now));
    limit_observed_at_ = now;
    limit_confirmed_at_ = now;
    const double limit = limit_.exact_value();
    const double late_calls = std::max(calls, min_late_share * limit);
    if (now - late_at_ > settings_.late_level_lifetime ||
        late_calls < late_calls_)
        late_calls_ = late_calls;
    late_at_ = now;
    // The stream ran at a load that the limit no longer allows.
    if (settings_.decrease_factor * late_calls >= limit)
        return;
    limit_.on_congestion(now, late_calls);
}

void server_capacity::record_in_time(absl::Time now, double calls)
{
    limit_.forget(forgotten_limit(now));
    limit_observed_at_ = now;
    if (calls >= confirming_share * limit_.exact_value())
        limit_confirmed_at_ = now;
    const bool is_near_late_level =
        now - late_at_ <= settings_.late_level_lifetime &&
        limit_.exact_value() >= settings_.decrease_factor * late_calls_;
    limit_.on_success(now, calls,
                      is_near_late_level ? settings_.increase_beyond_late_level
                                         : 1);
}

void server_capacity::record_peer(const peer_capacity& observed)
{
    if (observed.time_scale && !std::isnan(*observed.time_scale) &&
        observed.observed_at > peer_scale_at_) {
        peer_scale_ = std::clamp(*observed.time_scale, settings_.min_scale,
                                 settings_.max_scale);
        peer_scale_at_ = observed.observed_at;
    }
    if (observed.call_limit && !std::isnan(*observed.call_limit) &&
        observed.observed_at > peer_limit_at_) {
        peer_limit_ = std::clamp(*observed.call_limit, settings_.min_call_limit,
                                 std::max(slots_, settings_.min_call_limit));
        peer_limit_at_ = observed.observed_at;
    }
}

double server_capacity::forgotten_limit(absl::Time now) const
{
    return forgotten_share(now - limit_observed_at_, settings_.forget_after,
                           settings_.forget_time);
}

double server_capacity::forgotten_scale(absl::Time now,
                                        absl::Time observed_at) const
{
    return forgotten_share(now - observed_at, settings_.scale_forget_after,
                           settings_.scale_forget_time);
}

double server_capacity::slow_scale(absl::Time now) const
{
    const double learned = scale_sum_ / scale_weight_;
    return learned + (1 - learned) * forgotten_scale(now, scale_observed_at_);
}

double server_capacity::fast_scale(absl::Time now) const
{
    return 1 + (work_ - 1) *
                   decay_in(now - work_received_at_, settings_.work_decay_time);
}

double server_capacity::own_scale(absl::Time now) const
{
    return std::clamp(slow_scale(now) * fast_scale(now), settings_.min_scale,
                      settings_.max_scale);
}

double server_capacity::time_scale(absl::Time now) const
{
    const double own = own_scale(now);
    if (!peer_scale_)
        return own;
    // The more recent of the two observations counts more.
    const double peer =
        decay_in(now - peer_scale_at_, settings_.peer_scale_decay_time);
    const double self =
        decay_in(now - std::max(scale_observed_at_, work_received_at_),
                 settings_.peer_scale_decay_time);
    const double total = peer + std::max(self, 1 - peer);
    // Rounding may exceed the bounds slightly.
    return std::clamp(own * std::pow(*peer_scale_ / own, peer / total),
                      settings_.min_scale, settings_.max_scale);
}

double server_capacity::own_limit(absl::Time now) const
{
    const double limit = limit_.exact_value();
    const double most = std::max(slots_, settings_.min_call_limit);
    return limit + (most - limit) * forgotten_limit(now);
}

double server_capacity::call_limit(absl::Time now) const
{
    const double own = own_limit(now);
    if (!peer_limit_)
        return std::floor(own);
    double peer =
        decay_in(now - peer_limit_at_, settings_.peer_limit_decay_time);
    // A higher limit counts only when the own one was not confirmed of late.
    if (*peer_limit_ > own)
        peer *= 1 - decay_in(now - limit_confirmed_at_,
                             settings_.peer_limit_decay_time);
    // A whole limit that rounding has made slightly lower stays whole.
    constexpr double rounding = 1e-6;
    return std::max(std::floor(own + (*peer_limit_ - own) * peer + rounding),
                    settings_.min_call_limit);
}

peer_capacity server_capacity::own_observation(absl::Time now) const
{
    constexpr auto max_age = absl::Seconds(5);
    peer_capacity own;
    own.observed_at =
        std::max({scale_observed_at_, work_received_at_, limit_confirmed_at_});
    if (now - std::max(scale_observed_at_, work_received_at_) <= max_age)
        own.time_scale = own_scale(now);
    if (now - limit_confirmed_at_ <= max_age)
        own.call_limit = own_limit(now);
    return own;
}

double server_capacity::expected_mean_pause_ms(absl::Time now, double scale,
                                               double calls) const
{
    return mean_pause_.at(calls) * scale *
           (1 - forgotten_scale(now, stream_ended_at_));
}

double server_capacity::expected_long_pause_ms(absl::Time now, double scale,
                                               double calls) const
{
    return long_pause_.at(calls) * scale *
           (1 - forgotten_scale(now, stream_ended_at_));
}

double server_capacity::expected_wait_ms(double limit, double calls) const
{
    return std::max(calls + 1 - limit, 0.0) * call_ms_ / limit;
}

absl::Duration server_capacity::shortest_gap_target(absl::Time now) const
{
    return now - gap_target_seen_at_ <= settings_.gap_target_lifetime
               ? shortest_gap_target_
               : absl::InfiniteDuration();
}

} // namespace oriolefall::dispatch
