#include "oriolefall/membership/watcher_choice.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace oriolefall::membership {

std::vector<core::instance_id> choose_watchers(std::span<const member> members,
                                               std::size_t per_domain)
{
    using candidate = std::pair<std::uint64_t, core::instance_id>;
    std::map<core::location, std::vector<candidate>> domains;
    for (const member& value : members) {
        if (value.state == member_state::live)
            domains[value.location].emplace_back(
                rendezvous_weight("watcher", value.id.value()), value.id);
    }
    std::vector<core::instance_id> chosen;
    for (auto& [location, candidates] : domains) {
        std::ranges::sort(candidates, std::greater<>{});
        const std::size_t count = std::min(per_domain, candidates.size());
        for (std::size_t i = 0; i < count; ++i)
            chosen.push_back(candidates[i].second);
    }
    std::ranges::sort(chosen);
    return chosen;
}

std::vector<core::instance_id>
choose_region_watchers(std::span<const member> members,
                       const core::region_name& region, std::size_t count)
{
    std::vector<member> candidates;
    std::set<core::location> domains;
    for (const member& value : members) {
        if (value.location.region != region || !is_known_by_gossip(value) ||
            value.state != member_state::live)
            continue;
        candidates.push_back(value);
        domains.insert(value.location);
    }
    if (domains.empty())
        return {};
    const std::size_t per_domain =
        (count + domains.size() - 1) / domains.size();
    return choose_watchers(candidates, per_domain);
}

} // namespace oriolefall::membership
