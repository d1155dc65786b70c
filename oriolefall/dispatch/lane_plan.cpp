#include "oriolefall/dispatch/lane_plan.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace oriolefall::dispatch {

namespace {

double sum_of(std::span<const lane_need> needs)
{
    return std::accumulate(needs.begin(), needs.end(), 0.0,
                           [](double sum, const lane_need& need) {
                               return sum + need.engines;
                           });
}

void scale(std::span<lane_need> needs, double factor)
{
    std::ranges::for_each(
        needs, [factor](lane_need& need) { need.engines *= factor; });
}

} // namespace

std::uint64_t lane_key(const routing::service_name& service,
                       absl::Duration goal)
{
    return membership::rendezvous_weight(
        service.value(), std::to_string(absl::ToInt64Milliseconds(goal)));
}

std::vector<lane_part> plan_lanes(std::vector<lane_need> needs,
                                  std::size_t engines,
                                  const lane_settings& settings)
{
    std::ranges::sort(needs, {}, [](const lane_need& need) {
        return std::pair(need.goal, need.lane);
    });
    std::vector<lane_part> parts;
    const double all = static_cast<double>(engines);
    const double wanted = sum_of(needs);
    if (wanted <= 0 || all <= 0)
        return parts;
    if (wanted <= all) {
        scale(needs, all / wanted);
    } else {
        const std::span<lane_need> urgent(needs.data(), needs.size() - 1);
        const double most = all * (1 - settings.least_for_last);
        const double urgent_sum = sum_of(urgent);
        if (urgent_sum > most)
            scale(urgent, most / urgent_sum);
        needs.back().engines = all - sum_of(urgent);
    }
    double at = 0;
    for (const lane_need& need : needs) {
        const double end = at + need.engines / all;
        parts.push_back({need.lane, at, end});
        at = end;
    }
    return parts;
}

bool lies_in(const lane_part& part, std::size_t place, std::size_t engines,
             const lane_settings& settings)
{
    const double all = static_cast<double>(engines);
    const double begin = static_cast<double>(place);
    const double overlap = std::min(part.end * all, begin + 1) -
                           std::max(part.begin * all, begin);
    // A lane that is narrower than an engine uses that of its middle.
    const double middle = (part.begin + part.end) / 2 * all;
    const bool holds_middle = middle >= begin && middle < begin + 1;
    return overlap >= settings.least_overlap || holds_middle;
}

} // namespace oriolefall::dispatch
