#include "oriolefall/membership/near_instances.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::membership {

namespace {

/// 0: the caller's failure domain, 1: its region, 2: another region.
int distance(const core::location& caller, const member& value)
{
    if (value.location.failure_domain == caller.failure_domain)
        return 0;
    return value.location.region == caller.region ? 1 : 2;
}

std::vector<member> in_state(std::span<const member> members,
                             member_state state)
{
    std::vector<member> found;
    std::ranges::copy_if(
        members, std::back_inserter(found),
        [state](const member& value) { return value.state == state; });
    return found;
}

} // namespace

std::vector<member> near_instances(const core::location& caller,
                                   std::span<const member> members,
                                   const near_instances_settings& settings)
{
    std::vector<member> ranked = in_state(members, member_state::live);
    if (ranked.empty())
        ranked = in_state(members, member_state::suspect);
    const auto distance_to = [&caller](const member& value) {
        return distance(caller, value);
    };
    std::ranges::stable_sort(ranked, {}, distance_to);
    std::size_t count = 0;
    for (int max_distance = 0; max_distance <= 2 && count < settings.min_count;
         ++max_distance)
        count = static_cast<std::size_t>(
            std::ranges::count_if(ranked, [&](const member& value) {
                return distance_to(value) <= max_distance;
            }));
    ranked.resize(std::min({count, settings.max_count, ranked.size()}));
    return ranked;
}

} // namespace oriolefall::membership
