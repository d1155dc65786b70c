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

struct weighted
{
    std::uint64_t weight = 0;
    const member* value = nullptr;
    bool operator<(const weighted& other) const
    {
        return std::tie(weight, value->id) <
               std::tie(other.weight, other.value->id);
    }
};

std::vector<weighted> ranked(const group& members, const std::string& key)
{
    std::vector<weighted> rank;
    rank.reserve(members.size());
    std::ranges::transform(
        members, std::back_inserter(rank), [&key](const member* value) {
            return weighted{rendezvous_weight(key, value->id.value()), value};
        });
    std::sort(rank.begin(), rank.end());
    return rank;
}

/// Inside a failure domain: a ring with chords.
void add_ring_peers(const member& self, const group& domain, peer_set& peers)
{
    const std::vector<weighted> ring = ranked(domain, "ring");
    const auto here = std::ranges::find(
        ring, self.id, [](const weighted& at) { return at.value->id; });
    const auto size = ring.size();
    const auto place = static_cast<std::size_t>(here - ring.begin());
    const auto chord = static_cast<std::size_t>(
        std::lround(std::sqrt(static_cast<double>(size))));
    for (const std::size_t offset : {std::size_t{1}, chord}) {
        peers.insert(ring[(place + offset) % size].value->id);
        peers.insert(ring[(place + size - offset % size) % size].value->id);
    }
}

/// The ends of the links that join this group to another one: by rank, each
/// in another failure domain while there are any left.
group delegates_of(const group& members, const std::string& key,
                   std::size_t count)
{
    std::vector<weighted> rank = ranked(members, key);
    group chosen;
    std::set<core::location> used;
    const auto take = [&](bool any_domain) {
        for (weighted& at : rank) {
            if (chosen.size() >= count)
                return;
            if (at.value == nullptr)
                continue;
            if (!any_domain && used.contains(at.value->location))
                continue;
            used.insert(at.value->location);
            chosen.push_back(std::exchange(at.value, nullptr));
        }
    };
    take(false);
    take(true);
    return chosen;
}

/// Adds the far ends of those links between two groups that end at `self`.
void add_links(const member& self, const group& own, const group& other,
               const std::string& key, std::size_t links, peer_set& peers)
{
    const group near = delegates_of(own, key, links);
    const group far = delegates_of(other, key, links);
    const std::size_t count = std::max(near.size(), far.size());
    for (std::size_t link = 0; link < count; ++link) {
        if (near[link % near.size()]->id == self.id)
            peers.insert(far[link % far.size()]->id);
    }
}

std::string pair_key(const std::string& one, const std::string& two)
{
    return std::min(one, two) + '\n' + std::max(one, two);
}

} // namespace

std::vector<core::instance_id> choose_peers(const member& self,
                                            std::span<const member> members,
                                            std::size_t links_between_groups)
{
    std::map<core::region_name, group> regions;
    std::map<core::location, group> domains;
    const auto place = [&](const member& value) {
        regions[value.location.region].push_back(&value);
        domains[value.location].push_back(&value);
    };
    place(self);
    for (const member& value : members) {
        if (takes_part(value) && value.id != self.id)
            place(value);
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
