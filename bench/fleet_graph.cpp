#include "bench/fleet_graph.hpp"

#include "bench/fleet_place.hpp"
#include "oriolefall/membership/membership_settings.hpp"
#include "oriolefall/membership/peer_choice.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace oriolefall::bench {

namespace {

using neighbours = std::vector<std::vector<std::size_t>>;

std::vector<membership::member> make_members(std::size_t instances,
                                             std::size_t regions,
                                             std::size_t domains_per_region)
{
    std::vector<membership::member> members(instances);
    for (std::size_t number = 0; number < instances; ++number) {
        members[number].id = instance_name(number);
        members[number].incarnation = 1;
        members[number].location =
            place_of(number, regions, domains_per_region);
    }
    return members;
}

neighbours link_all(const std::vector<membership::member>& members)
{
    std::map<core::instance_id, std::size_t> number_of;
    for (std::size_t number = 0; number < members.size(); ++number)
        number_of[members[number].id] = number;
    const std::size_t between =
        membership::membership_settings{}.links_between_groups;
    neighbours links;
    for (const membership::member& self : members) {
        std::vector<std::size_t> peers;
        for (const auto& id : membership::choose_peers(self, members, between))
            peers.push_back(number_of.at(id));
        links.push_back(std::move(peers));
    }
    return links;
}

/// Hops to the instance that is farthest from `start`, breadth first.
std::size_t farthest_from(const neighbours& links, std::size_t start)
{
    std::vector<std::size_t> hops(links.size(), links.size());
    hops[start] = 0;
    std::vector<std::size_t> queue{start};
    for (std::size_t at = 0; at < queue.size(); ++at) {
        for (const std::size_t next : links[queue[at]]) {
            if (hops[next] != links.size())
                continue;
            hops[next] = hops[queue[at]] + 1;
            queue.push_back(next);
        }
    }
    return *std::ranges::max_element(hops);
}

} // namespace

graph_shape shape_of_fleet(std::size_t instances, std::size_t regions,
                           std::size_t domains_per_region)
{
    const auto members = make_members(instances, regions, domains_per_region);
    const neighbours links = link_all(members);
    graph_shape shape;
    for (std::size_t number = 0; number < instances; ++number) {
        const auto& peers = links[number];
        shape.mean_links +=
            static_cast<double>(peers.size()) / static_cast<double>(instances);
        shape.most_links = std::max(shape.most_links, peers.size());
        shape.most_hops =
            std::max(shape.most_hops, farthest_from(links, number));
        shape.region_links += static_cast<std::size_t>(
            std::ranges::count_if(peers, [&](std::size_t peer) {
                return members[peer].location.region !=
                       members[number].location.region;
            }));
    }
    shape.region_links /= 2;
    return shape;
}

} // namespace oriolefall::bench
