#include "oriolefall/membership/peer_choice.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace oriolefall::membership {

namespace {

using group = std::vector<const member*>;
using peer_set = std::set<core::instance_id>;

struct weighted_member
{
    std::uint64_t weight = 0;
    const member* value = nullptr;
    bool operator<(const weighted_member& other) const
    {
        return std::tie(weight, value->id) <
               std::tie(other.weight, other.value->id);
    }
};

std::vector<weighted_member> rank_by_weight(const group& members,
                                            const std::string& key)
{
    std::vector<weighted_member> ranking;
    ranking.reserve(members.size());
    std::ranges::transform(
        members, std::back_inserter(ranking), [&key](const member* value) {
            return weighted_member{rendezvous_weight(key, value->id.value()),
                                   value};
        });
    std::sort(ranking.begin(), ranking.end());
    return ranking;
}

/// Adds the neighbours of `self` in a ring with chords over its failure domain.
void add_ring_peers(const member& self, const group& domain, peer_set& peers)
{
    const std::vector<weighted_member> ring = rank_by_weight(domain, "ring");
    const auto own =
        std::ranges::find(ring, self.id, [](const weighted_member& some) {
            return some.value->id;
        });
    const auto size = ring.size();
    const auto position = static_cast<std::size_t>(own - ring.begin());
    const auto chord = static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(size))));
    for (const std::size_t offset : {std::size_t{1}, chord}) {
        peers.insert(ring[(position + offset) % size].value->id);
        peers.insert(ring[(position + size - offset % size) % size].value->id);
    }
}

/// The members of this group at which its links to another group end: the first
/// by rank, in different failure domains as far as the group has them.
group link_ends(const group& members, const std::string& key, std::size_t count)
{
    std::vector<weighted_member> ranking = rank_by_weight(members, key);
    group chosen;
    std::set<core::location> used_domains;
    const auto take = [&](bool may_reuse_domain) {
        for (weighted_member& some : ranking) {
            if (chosen.size() >= count)
                return;
            if (some.value == nullptr)
                continue;
            if (!may_reuse_domain &&
                used_domains.contains(some.value->location))
                continue;
            used_domains.insert(some.value->location);
            chosen.push_back(std::exchange(some.value, nullptr));
        }
    };
    take(false);
    take(true);
    return chosen;
}

/// Adds the remote ends of those links between two groups whose local end is
/// `self`.
void add_links(const member& self, const group& own, const group& other,
               const std::string& key, std::size_t links, peer_set& peers)
{
    const group local_ends = link_ends(own, key, links);
    const group remote_ends = link_ends(other, key, links);
    const std::size_t count = std::max(local_ends.size(), remote_ends.size());
    for (std::size_t link = 0; link < count; ++link) {
        if (local_ends[link % local_ends.size()]->id == self.id)
            peers.insert(remote_ends[link % remote_ends.size()]->id);
    }
}

std::string pair_key(const std::string& first, const std::string& second)
{
    return std::min(first, second) + '\n' + std::max(first, second);
}

} // namespace

std::vector<core::instance_id> choose_peers(const member& self,
                                            std::span<const member> members,
                                            std::size_t links_between_groups)
{
    std::map<core::region_name, group> regions;
    std::map<core::location, group> domains;
    const auto add_to_groups = [&](const member& value) {
        regions[value.location.region].push_back(&value);
        domains[value.location].push_back(&value);
    };
    add_to_groups(self);
    for (const member& value : members) {
        if (participates_in_gossip(value) && value.id != self.id)
            add_to_groups(value);
    }

    peer_set peers;
    const group& own_domain = domains[self.location];
    const group& own_region = regions[self.location.region];
    add_ring_peers(self, own_domain, peers);
    for (const auto& [location, domain] : domains) {
        if (location.region != self.location.region ||
            location == self.location)
            continue;
        const std::string key = pair_key(self.location.failure_domain.value(),
                                         location.failure_domain.value());
        add_links(self, own_domain, domain, key, links_between_groups, peers);
    }
    for (const auto& [name, region] : regions) {
        if (name == self.location.region)
            continue;
        const std::string key =
            pair_key(self.location.region.value(), name.value());
        add_links(self, own_region, region, key, links_between_groups, peers);
    }
    peers.erase(self.id);
    return {peers.begin(), peers.end()};
}

} // namespace oriolefall::membership
