#include "oriolefall/sizing/regional_demand.hpp"

#include <algorithm>

namespace oriolefall::sizing {

namespace {

constexpr double milli = 1000.0;
/// New servers are seen this much after their start-up time: the demand and
/// the list of servers are about a second old.
constexpr absl::Duration data_age = absl::Seconds(1);

void add(usage::service_demand& sum, const usage::service_demand& part)
{
    sum.calls_milli += part.calls_milli;
    sum.urgent_calls_milli += part.urgent_calls_milli;
    sum.answers += part.answers;
    sum.late_answers += part.late_answers;
    sum.refused += part.refused;
}

} // namespace

regional_demand::regional_demand(sizing_settings settings) : settings_(settings)
{
}

void regional_demand::update(
    absl::Time now, const domain_demand& demand, const region_hook& region_of,
    const std::map<core::region_name, double>& capacity,
    absl::Duration startup_time)
{
    std::map<core::region_name, usage::service_demand> sums;
    // Regions that are not reported any more have no demand.
    for (const auto& [region, unused] : regions_)
        sums[region];
    calls_.clear();
    for (const auto& [domain, part] : demand) {
        add(sums[region_of(domain)], part);
        calls_[domain] = static_cast<double>(part.calls_milli) / milli;
    }
    for (const auto& [region, sum] : sums) {
        region_state& state =
            regions_.try_emplace(region, settings_).first->second;
        const double calls = static_cast<double>(sum.calls_milli) / milli;
        const auto room = capacity.find(region);
        const bool is_full =
            calls > (room == capacity.end() ? 0.0 : room->second);
        state.forecast.add(now, calls);
        state.urgent_calls =
            static_cast<double>(sum.urgent_calls_milli) / milli;
        state.late.on_answers(now, sum.answers + sum.refused,
                              sum.late_answers + sum.refused, is_full,
                              startup_time);
    }
}

std::vector<region_need> regional_demand::needs(absl::Duration startup_time,
                                                double calls_per_server) const
{
    std::vector<region_need> result;
    for (const auto& [region, state] : regions_) {
        const double current = state.forecast.current();
        const double calls = expected(state, startup_time);
        const double rise = current > 0 ? calls / current : 1.0;
        const double servers_per_call = settings_.headroom / calls_per_server;
        result.push_back(
            {.region = region,
             .servers = calls * (1 + state.late.value()) * servers_per_call,
             .urgent_servers = state.urgent_calls * rise * servers_per_call});
    }
    return result;
}

double regional_demand::share(const core::failure_domain_name& domain,
                              const core::region_name& region) const
{
    const auto own = calls_.find(domain);
    const auto all = regions_.find(region);
    if (own == calls_.end() || all == regions_.end() || own->second <= 0)
        return 0;
    return std::min(1.0, own->second / all->second.forecast.current());
}

std::vector<core::failure_domain_name> regional_demand::domains() const
{
    std::vector<core::failure_domain_name> result;
    for (const auto& [domain, calls] : calls_)
        result.push_back(domain);
    return result;
}

double regional_demand::calls() const
{
    double sum = 0;
    for (const auto& [region, state] : regions_)
        sum += state.forecast.current();
    return sum;
}

double regional_demand::forecast_calls(absl::Duration startup_time) const
{
    double sum = 0;
    for (const auto& [region, state] : regions_)
        sum += expected(state, startup_time);
    return sum;
}

double regional_demand::largest_margin() const
{
    double largest = 0;
    for (const auto& [region, state] : regions_)
        largest = std::max(largest, state.late.value());
    return largest;
}

double regional_demand::expected(const region_state& state,
                                 absl::Duration startup_time) const
{
    return state.forecast.after(startup_time + data_age,
                                settings_.max_forecast);
}

} // namespace oriolefall::sizing
