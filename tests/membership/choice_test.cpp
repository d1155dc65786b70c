#include "fleet.hpp"

#include "oriolefall/membership/entry_choice.hpp"
#include "oriolefall/membership/peer_choice.hpp"
#include "oriolefall/membership/watcher_choice.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <rapidcheck.h>
#include <set>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::membership;

namespace {

using graph = std::map<core::instance_id, std::set<core::instance_id>>;

graph peer_graph(const std::vector<member>& fleet)
{
    graph links;
    for (const member& self : fleet) {
        const auto peers = choose_peers(self, fleet, 2);
        links[self.id] = {peers.begin(), peers.end()};
    }
    return links;
}

std::size_t count_reachable(const graph& links, const core::instance_id& start)
{
    std::set<core::instance_id> visited{start};
    std::vector<core::instance_id> pending{start};
    while (!pending.empty()) {
        const core::instance_id current = pending.back();
        pending.pop_back();
        for (const core::instance_id& next : links.at(current)) {
            if (visited.insert(next).second)
                pending.push_back(next);
        }
    }
    return visited.size();
}

/// A fleet with random numbers of instances, regions and failure domains, and
/// a random state for each instance.
std::vector<member> any_fleet()
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 120);
    const auto regions = *rc::gen::inRange<std::size_t>(1, 6);
    const auto domains = *rc::gen::inRange<std::size_t>(1, 4);
    std::vector<member> fleet = tests::make_fleet(size, regions, domains);
    for (member& value : fleet)
        value.state = *rc::gen::elementOf(std::vector<member_state>(
            all_member_states.begin(), all_member_states.end()));
    return fleet;
}

entry_query any_query()
{
    return {
        core::workspace_id("workspace" +
                           std::to_string(*rc::gen::inRange(0, 320))),
        core::region_name("region" + std::to_string(*rc::gen::inRange(0, 6))),
        *rc::gen::inRange<std::uint32_t>(0, 8)};
}

} // namespace

Test(peer_choice, graph_is_connected_symmetric_and_bounded)
{
    cr_assert(rc::check("peer graph", [] {
        const auto size = *rc::gen::inRange<std::size_t>(1, 200);
        const auto regions = *rc::gen::inRange<std::size_t>(1, 6);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 4);
        const auto fleet = tests::make_fleet(size, regions, domains);
        const graph links = peer_graph(fleet);
        RC_ASSERT(count_reachable(links, fleet.front().id) == size);
        for (const auto& [id, peers] : links) {
            RC_ASSERT(!peers.contains(id));
            RC_ASSERT(peers.size() <=
                      4 + 2 * (domains - 1) + 2 * (regions - 1));
            for (const core::instance_id& peer : peers)
                RC_ASSERT(links.at(peer).contains(id));
        }
    }));
}

Test(peer_choice,
     stays_connected_before_the_loss_of_a_failure_domain_is_detected)
{
    cr_assert(rc::check("peer graph without a failure domain", [] {
        const auto size = *rc::gen::inRange<std::size_t>(18, 200);
        const auto regions = *rc::gen::inRange<std::size_t>(1, 6);
        const auto fleet = tests::make_fleet(size, regions, 3);
        const core::location lost = (*rc::gen::elementOf(fleet)).location;
        graph links = peer_graph(fleet);
        for (const member& value : fleet) {
            if (value.location == lost)
                links.erase(value.id);
        }
        for (auto& [id, peers] : links)
            std::erase_if(peers, [&links](const core::instance_id& peer) {
                return !links.contains(peer);
            });
        RC_ASSERT(count_reachable(links, links.begin()->first) == links.size());
    }));
}

Test(peer_choice, few_links_cross_regions_in_a_fleet_of_440_instances)
{
    const auto fleet = tests::make_fleet(440, 5, 3);
    std::map<core::instance_id, core::region_name> region;
    for (const member& value : fleet)
        region[value.id] = value.location.region;
    std::size_t crossing_links = 0;
    for (const auto& [id, peers] : peer_graph(fleet))
        crossing_links += static_cast<std::size_t>(
            std::ranges::count_if(peers, [&](const core::instance_id& peer) {
                return region[peer] != region[id];
            }));
    // 10 pairs of regions with 2 links each, counted at both ends.
    cr_assert_leq(crossing_links, 40);
}

Test(watcher_choice, chooses_up_to_two_live_instances_of_each_failure_domain)
{
    cr_assert(rc::check("watchers", [] {
        const auto fleet = any_fleet();
        const auto chosen = choose_watchers(fleet, 2);
        std::map<core::location, std::size_t> live;
        std::map<core::location, std::size_t> watching;
        for (const member& value : fleet) {
            if (value.state == member_state::live)
                ++live[value.location];
            if (std::ranges::binary_search(chosen, value.id)) {
                RC_ASSERT(value.state == member_state::live);
                ++watching[value.location];
            }
        }
        for (const auto& [location, count] : live)
            RC_ASSERT(watching[location] == std::min<std::size_t>(2, count));
    }));
}

// Two or more in a region, at least one in each of its failure domains, so that
// the loss of an instance or of a domain leaves one that reads the store.
Test(watcher_choice, chooses_watchers_in_all_failure_domains_of_a_region)
{
    cr_assert(rc::check("watchers of a region", [] {
        auto fleet = any_fleet();
        for (member& value : fleet)
            value.incarnation = 1;
        if (fleet.empty())
            return;
        const core::region_name region = fleet.front().location.region;
        const auto chosen = choose_region_watchers(fleet, region, 2);
        std::map<core::location, std::size_t> live;
        std::map<core::location, std::size_t> watching;
        std::size_t live_count = 0;
        for (const member& value : fleet) {
            const bool is_chosen = std::ranges::binary_search(chosen, value.id);
            RC_ASSERT(!is_chosen || value.location.region == region);
            if (value.location.region != region ||
                value.state != member_state::live)
                continue;
            ++live_count;
            ++live[value.location];
            if (is_chosen)
                ++watching[value.location];
        }
        RC_ASSERT(chosen.size() <= live_count);
        for (const auto& [location, count] : live)
            RC_ASSERT(watching[location] >= 1);
        if (live.size() == 1)
            RC_ASSERT(chosen.size() == std::min<std::size_t>(2, live_count));
    }));
}

Test(watcher_choice, members_known_only_from_the_list_do_not_watch)
{
    member listed;
    listed.id = core::instance_id("listed");
    listed.location = {core::region_name("r"), core::failure_domain_name("d")};
    member known = listed;
    known.id = core::instance_id("known");
    known.incarnation = 7;
    const std::vector<member> fleet{known, listed};
    cr_assert_eq(choose_region_watchers(fleet, listed.location.region, 2),
                 std::vector{known.id});
}

Test(entry_choice, never_chooses_a_leaving_or_dead_instance)
{
    cr_assert(rc::check("states of the chosen instances", [] {
        const auto fleet = any_fleet();
        const auto choice = choose_entry(any_query(), fleet, {});
        const auto live = static_cast<std::size_t>(
            std::ranges::count(fleet, member_state::live, &member::state));
        for (const member& value : choice.members) {
            RC_ASSERT(value.state != member_state::leaving);
            RC_ASSERT(value.state != member_state::dead);
            RC_ASSERT(live == 0 || value.state == member_state::live);
        }
        if (live > 0)
            RC_ASSERT(choice.members.size() == std::min<std::size_t>(3, live));
    }));
}

Test(entry_choice,
     own_region_comes_first_and_second_is_in_another_failure_domain)
{
    cr_assert(rc::check("order of the chosen instances", [] {
        const auto fleet = any_fleet();
        const entry_query query = any_query();
        const auto choice = choose_entry(query, fleet, {});
        const auto is_near = [&](const member& value) {
            return value.location.region == query.region;
        };
        RC_ASSERT(std::ranges::is_partitioned(choice.members, is_near));
        std::set<core::location> near_domains;
        for (const member& value : fleet) {
            if (value.state == member_state::live && is_near(value))
                near_domains.insert(value.location);
        }
        if (near_domains.size() > 1)
            RC_ASSERT(choice.members[0].location != choice.members[1].location);
    }));
}

Test(entry_choice, a_leaving_instance_moves_only_its_own_workspaces)
{
    cr_assert(rc::check("few workspaces move", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 40);
        auto fleet = tests::make_fleet(size, 1, 1);
        const entry_query query{any_query().workspace,
                                fleet.front().location.region};
        const auto before = choose_entry(query, fleet, {}).members.front();
        const auto leaving = *rc::gen::inRange<std::size_t>(0, size);
        const bool was_first = fleet[leaving].id == before.id;
        fleet[leaving].state = member_state::leaving;
        const auto after = choose_entry(query, fleet, {}).members.front();
        RC_ASSERT(was_first || after == before);
    }));
}

// Rendezvous weights are uniform, so the number of workspaces for which each of
// n instances is chosen first is multinomial. For W workspaces, each count must
// be within six standard deviations of W / n.
Test(entry_choice, first_places_are_spread_evenly)
{
    constexpr std::size_t workspaces = 12000;
    for (const std::size_t size : {3U, 6U, 7U, 30U, 88U}) {
        const auto fleet = tests::make_fleet(size, 1, 3);
        std::map<core::instance_id, std::size_t> first;
        for (std::size_t i = 0; i < workspaces; ++i) {
            const entry_query query{core::workspace_id("w" + std::to_string(i)),
                                    fleet.front().location.region};
            ++first[choose_entry(query, fleet, {}).members.front().id];
        }
        const double mean =
            static_cast<double>(workspaces) / static_cast<double>(size);
        cr_assert_eq(first.size(), size);
        for (const auto& [id, count] : first)
            cr_assert_lt(std::abs(static_cast<double>(count) - mean),
                         6 * std::sqrt(mean));
    }
}

Test(entry_choice, shards_of_a_large_workspace_use_many_instances)
{
    const auto fleet = tests::make_fleet(6, 1, 3);
    std::set<core::instance_id> used;
    for (std::uint32_t shard = 0; shard < 64; ++shard)
        used.insert(choose_entry({core::workspace_id("large"),
                                  fleet.front().location.region, shard},
                                 fleet, {})
                        .members.front()
                        .id);
    cr_assert_eq(used.size(), fleet.size());
}
