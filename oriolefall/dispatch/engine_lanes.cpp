#include "oriolefall/dispatch/engine_lanes.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace oriolefall::dispatch {

namespace {

constexpr double max_first_event_fraction = 3;

} // namespace

engine_lanes::engine_lanes(const lane_settings& settings)
    : settings_(settings),
      short_work_ms_(settings.initial_share * settings.initial_work_ms /
                     settings.share_factor),
      all_work_ms_(settings.initial_work_ms),
      stream_ms_{settings.initial_stream_ms, settings.initial_stream_ms}
{
}

void engine_lanes::set_routes(const routing::route_settings& routes,
                              const routing::service_name& service)
{
    std::vector<absl::Duration> gaps;
    for (const routing::route& route : routes.routes)
        if (route.is_stream && route.gap_target < absl::InfiniteDuration() &&
            std::ranges::find(route.targets, service,
                              &routing::route_target::service) !=
                route.targets.end())
            gaps.push_back(route.gap_target);
    const auto found =
        std::ranges::find(routes.services, service, &routing::service::name);
    is_needed_ = false;
    if (gaps.empty() || found == routes.services.end() || !found->engine)
        return;

    const absl::Duration slow_event = absl::Milliseconds(
        settings_.prefill_step_ms * found->engine->tokens_per_event);
    const absl::Duration shortest = std::ranges::min(gaps);
    short_gap_ = shortest * settings_.short_gap_factor;
    is_needed_ =
        std::ranges::max(gaps) >= shortest * settings_.min_gap_contrast &&
        shortest < slow_event;
}

void engine_lanes::set_engine_count(std::size_t count)
{
    engine_count_ = count;
}

void engine_lanes::record_work(absl::Time now, stream_lane lane, double work_ms)
{
    decay(now);
    all_work_ms_ += work_ms;
    if (lane == stream_lane::short_pauses)
        short_work_ms_ += work_ms;
}

void engine_lanes::record_stream(stream_lane lane, double stream_ms)
{
    double& average = stream_ms_.at(static_cast<std::size_t>(lane));
    average += settings_.stream_weight * (stream_ms - average);
}

double engine_lanes::expected_stream_ms(stream_lane lane) const
{
    return stream_ms_.at(static_cast<std::size_t>(lane));
}

void engine_lanes::decay(absl::Time now)
{
    if (decayed_at_ > absl::InfinitePast()) {
        const double remaining = std::exp(
            -absl::FDivDuration(now - decayed_at_, settings_.decay_time));
        short_work_ms_ *= remaining;
        all_work_ms_ *= remaining;
    }
    decayed_at_ = now;
}

bool engine_lanes::is_divided() const
{
    return is_needed_ && engine_count_ >= settings_.min_engines;
}

stream_lane engine_lanes::lane_of(const routing::route& route) const
{
    return route.gap_target <= short_gap_ ? stream_lane::short_pauses
                                          : stream_lane::long_prompts;
}

stream_lane engine_lanes::lane_at(double position) const
{
    return position < short_pause_share() ? stream_lane::short_pauses
                                          : stream_lane::long_prompts;
}

void engine_lanes::record_first_event(stream_lane lane, double fraction)
{
    double& average = first_events_.at(static_cast<std::size_t>(lane));
    average += settings_.first_event_weight *
               (std::min(fraction, max_first_event_fraction) - average);
}

double engine_lanes::own_share() const
{
    if (all_work_ms_ <= 0)
        return settings_.initial_share;
    const auto shortage = [this](stream_lane lane) {
        const double average = first_events_.at(static_cast<std::size_t>(lane));
        return 1 + std::max(0.0, average - settings_.relaxed_first_event);
    };
    return settings_.share_factor * short_work_ms_ / all_work_ms_ *
           shortage(stream_lane::short_pauses) /
           shortage(stream_lane::long_prompts);
}

double engine_lanes::short_pause_share() const
{
    const double share = peer_share_
                             ? settings_.own_weight * own_share() +
                                   (1 - settings_.own_weight) * *peer_share_
                             : own_share();
    return std::clamp(share, settings_.min_share, settings_.max_share);
}

void engine_lanes::set_peer_share(std::optional<double> share)
{
    peer_share_ = share;
}

double lane_position(const core::backend_server_id& server)
{
    return static_cast<double>(
               membership::rendezvous_weight("lane", server.value())) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace oriolefall::dispatch
