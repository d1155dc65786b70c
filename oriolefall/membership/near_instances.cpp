#include "oriolefall/membership/near_instances.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::membership {

namespace {

/// 0: the caller's failure domain, 1: its region, 2: elsewhere.
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
                                   const near_settings& settings)
{
    std::vector<member> ranked = in_state(members, member_state::live);
    if (ranked.empty())
        ranked = in_state(members, member_state::suspect);
    const auto far = [&caller](const member& value) {
        return distance(caller, value);
    };
    std::ranges::stable_sort(ranked, {}, far);
    std::size_t count = 0;
    for (int reach = 0; reach <= 2 && count < settings.at_least; ++reach)
        count = static_cast<std::size_t>(std::ranges::count_if(
            ranked, [&](const member& value) { return far(value) <= reach; }));
    ranked.resize(std::min({count, settings.at_most, ranked.size()}));
    return ranked;
}

} // namespace oriolefall::membership
