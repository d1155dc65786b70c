#include "oriolefall/decision/route_load.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstddef>

namespace oriolefall::decision {

namespace {

constexpr double service_time_prior_s = 1.0;
constexpr double first_byte_weight = 0.02;
/// Weight of a new sample in the moving average of a tier's allowed wait.
constexpr double allowed_wait_weight = 0.1;
constexpr double max_allowed_wait_s = 10.0;
constexpr std::size_t prompt_buckets = 33;

} // namespace

route_load::route_load(const admission_settings& settings)
    : settings_(settings),
      tiers_{tier_demand{arrival_rate(settings.arrival_rate_window),
                         arrival_rate(settings.arrival_rate_window)},
             tier_demand{arrival_rate(settings.arrival_rate_window),
                         arrival_rate(settings.arrival_rate_window)},
             tier_demand{arrival_rate(settings.arrival_rate_window),
                         arrival_rate(settings.arrival_rate_window)}},
      first_byte_times_(prompt_buckets, moving_average(first_byte_weight))
{
}

void route_load::on_arrival(absl::Time now, core::tier tier,
                            double service_time_s, absl::Duration allowed_wait)
{
    tier_demand& demand = tiers_[static_cast<std::size_t>(tier)];
    demand.requests.add(now, 1.0);
    demand.work.add(now, service_time_s);
    const double allowed =
        std::min(absl::ToDoubleSeconds(allowed_wait), max_allowed_wait_s);
    demand.allowed_wait_s +=
        allowed_wait_weight * (allowed - demand.allowed_wait_s);
}

void route_load::on_call_ended(double service_time_s)
{
    service_times_.add(service_time_s);
}

void route_load::on_token_interval(double seconds)
{
    token_intervals_.add(seconds);
}

void route_load::on_first_byte(std::uint32_t prompt_tokens, double seconds)
{
    first_byte_times_[std::bit_width(prompt_tokens)].add(seconds);
}

double route_load::higher_tier_slots(absl::Time now, core::tier tier) const
{
    double slots = 0.0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(tier); ++i)
        slots += tiers_[i].work.value(now);
    return slots;
}

double route_load::reserved_slots(absl::Time now, core::tier tier,
                                  const capacity& available) const
{
    double reserved = 0.0;
    for (std::size_t i = 0; i < static_cast<std::size_t>(tier); ++i) {
        const tier_demand& demand = tiers_[i];
        const double rate = demand.requests.value(now);
        if (rate <= 0.0)
            continue;
        const double expected = rate * demand.allowed_wait_s;
        const double expected_releases =
            available.in_flight *
            std::min(1.0, demand.allowed_wait_s / service_time_s());
        const double upper_demand =
            expected + settings_.reserve_deviations * std::sqrt(expected);
        reserved += std::max(upper_demand - expected_releases,
                             settings_.min_reserve_share * available.slots);
    }
    return reserved;
}

double route_load::service_time_s() const
{
    return std::max(service_times_.value_or(service_time_prior_s), 1e-3);
}

double route_load::first_byte_s(std::uint32_t prompt_tokens,
                                double fallback) const
{
    return first_byte_times_[std::bit_width(prompt_tokens)].value_or(fallback);
}

} // namespace oriolefall::decision
