#include "membership_simulation.hpp"

#include <algorithm>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::membership;
using oriolefall::tests::make_fleet;
using oriolefall::tests::membership_simulation;

namespace {

std::vector<member> any_members(const std::vector<member>& fleet)
{
    std::vector<member> members =
        *rc::gen::container<std::vector<member>>(rc::gen::elementOf(fleet));
    for (member& value : members) {
        value.incarnation = *rc::gen::inRange<std::uint64_t>(0, 5);
        value.state = *rc::gen::elementOf(std::vector<member_state>(
            all_member_states.begin(), all_member_states.end()));
    }
    return members;
}

event any_event(const std::vector<member>& fleet)
{
    const core::instance_id from = (*rc::gen::elementOf(fleet)).id;
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        return heartbeat_received{from,
                                  {*rc::gen::inRange<std::uint64_t>(0, 5),
                                   *rc::gen::inRange<std::uint64_t>(0, 9), 0,
                                   *rc::gen::arbitrary<std::uint64_t>()}};
    case 1:
        return platform_listed{any_members(fleet)};
    case 2:
        return link_opened{from};
    case 3:
        return link_closed{from};
    case 4:
        return buckets_received{from, {}};
    case 5:
        return tick{};
    default:
        return member_update_received{from, any_members(fleet)};
    }
}

const member* find(const std::vector<member>& members,
                   const core::instance_id& id)
{
    const auto found = std::ranges::find(members, id, &member::id);
    return found == members.end() ? nullptr : &*found;
}

bool all_live(const membership_simulation& simulation)
{
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        const auto known = simulation.table(i).members();
        if (known.size() != simulation.size() ||
            !std::ranges::all_of(known, [](const member& value) {
                return value.state == member_state::live;
            }))
            return false;
    }
    return true;
}

} // namespace

Test(member_table, incarnation_and_state_never_go_back)
{
    cr_assert(rc::check("no regression under any events", [] {
        const auto fleet = make_fleet(5, 2, 2);
        member_table table({}, fleet.front());
        absl::Time now = absl::UnixEpoch();
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const auto before = table.members();
            const member self = table.self();
            now += absl::Milliseconds(*rc::gen::inRange(0, 8000));
            std::vector<action> out;
            table.step(now, any_event(fleet), out);
            const auto after = table.members();
            for (const member& earlier : before) {
                const member* next = find(after, earlier.id);
                RC_ASSERT(next != nullptr);
                RC_ASSERT(!supersedes(earlier, *next));
                if (earlier.state == member_state::leaving)
                    RC_ASSERT(next->state >= member_state::leaving ||
                              next->incarnation > earlier.incarnation);
            }
            RC_ASSERT(table.self().state == member_state::live);
            RC_ASSERT(table.self().incarnation >= self.incarnation);
        }
    }));
}

Test(member_table, same_events_give_same_actions)
{
    cr_assert(rc::check("determinism", [] {
        const auto fleet = make_fleet(5, 2, 2);
        member_table first({}, fleet.front());
        member_table second({}, fleet.front());
        absl::Time now = absl::UnixEpoch();
        for (int i = 0; i < 20; ++i) {
            now += absl::Milliseconds(*rc::gen::inRange(0, 8000));
            const event next = any_event(fleet);
            std::vector<action> first_actions;
            std::vector<action> second_actions;
            first.step(now, next, first_actions);
            second.step(now, next, second_actions);
            RC_ASSERT(first_actions == second_actions);
        }
    }));
}

Test(member_map, merging_in_any_order_gives_the_same_map)
{
    cr_assert(rc::check("commutative and idempotent", [] {
        const auto fleet = make_fleet(6, 2, 2);
        std::vector<member> updates = any_members(fleet);
        member_map first(100);
        member_map second(100);
        const auto merge_all = [&](member_map& map) {
            for (const member& value : fleet)
                map.merge(absl::UnixEpoch(), value);
            for (const member& value : updates)
                map.merge(absl::UnixEpoch(), value);
        };
        merge_all(first);
        std::ranges::reverse(updates);
        merge_all(second);
        merge_all(second);
        RC_ASSERT(first.all() == second.all());
        RC_ASSERT(first.digest() == second.digest());
    }));
}

Test(member_table, tables_converge_after_loss_reordering_and_partition)
{
    cr_assert(rc::check("convergence", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        membership_simulation simulation(make_fleet(size, 3, 2),
                                         *rc::gen::arbitrary<unsigned>());
        simulation.set_loss_and_delay(0.3, absl::Seconds(2));
        simulation.run(absl::Seconds(20));
        const auto sides =
            *rc::gen::container<std::vector<int>>(size, rc::gen::inRange(0, 2));
        simulation.partition(sides);
        const auto paused = *rc::gen::inRange<std::size_t>(0, size);
        simulation.pause(paused, true);
        simulation.run(absl::Seconds(*rc::gen::inRange(5, 300)));
        simulation.pause(paused, false);
        simulation.partition(std::vector<int>(size, 0));
        simulation.set_loss_and_delay(0.0, absl::Milliseconds(200));
        simulation.run(absl::Minutes(8));
        RC_ASSERT(simulation.tables_agree());
        RC_ASSERT(all_live(simulation));
        RC_ASSERT(simulation.regressions() == 0U);
    }));
}

Test(member_table, a_crash_is_detected_everywhere_and_the_tombstone_expires)
{
    cr_assert(rc::check("crash", [] {
        const auto size = *rc::gen::inRange<std::size_t>(3, 16);
        const auto fleet = make_fleet(size, 3, 2);
        membership_settings settings;
        settings.tombstone_lifetime = absl::Minutes(3);
        membership_simulation simulation(fleet, *rc::gen::arbitrary<unsigned>(),
                                         settings);
        simulation.run(absl::Seconds(10));
        RC_ASSERT(all_live(simulation));
        simulation.crash(0);
        simulation.run(absl::Seconds(60));
        for (std::size_t i = 1; i < size; ++i)
            RC_ASSERT(simulation.state_of(i, fleet[0].id) ==
                      member_state::dead);
        simulation.run(settings.tombstone_lifetime);
        for (std::size_t i = 1; i < size; ++i)
            RC_ASSERT(simulation.table(i).members().size() == size - 1);
        RC_ASSERT(simulation.tables_agree());
    }));
}

Test(member_table, the_leaving_state_reaches_all_and_persists)
{
    cr_assert(rc::check("leaving", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        const auto fleet = make_fleet(size, 3, 2);
        membership_simulation simulation(fleet,
                                         *rc::gen::arbitrary<unsigned>());
        simulation.run(absl::Seconds(10));
        simulation.apply(0, leave_requested{});
        simulation.set_loss_and_delay(0.2, absl::Seconds(1));
        simulation.run(absl::Seconds(20));
        simulation.apply(size - 1, platform_listed{fleet});
        simulation.apply(size - 1, member_update_received{fleet[0].id, fleet});
        simulation.set_loss_and_delay(0.0, absl::ZeroDuration());
        simulation.run(absl::Minutes(2));
        for (std::size_t i = 0; i < size; ++i)
            RC_ASSERT(simulation.state_of(i, fleet[0].id) ==
                      member_state::leaving);
        simulation.crash(0);
        simulation.run(absl::Seconds(60));
        for (std::size_t i = 1; i < size; ++i)
            RC_ASSERT(simulation.state_of(i, fleet[0].id) ==
                      member_state::dead);
    }));
}

Test(member_table, a_resumed_instance_restores_no_outdated_state)
{
    const auto fleet = make_fleet(6, 3, 1);
    membership_simulation simulation(fleet, 7);
    simulation.run(absl::Seconds(10));
    simulation.pause(5, true);
    simulation.run(absl::Seconds(10));
    simulation.apply(0, leave_requested{});
    simulation.crash(1);
    simulation.run(absl::Seconds(90));
    cr_assert_eq(simulation.state_of(2, fleet[5].id), member_state::dead);
    simulation.pause(5, false);
    simulation.run(absl::Seconds(40));
    for (const std::size_t i : {0U, 2U, 3U, 4U, 5U}) {
        cr_assert_eq(simulation.state_of(i, fleet[0].id),
                     member_state::leaving);
        cr_assert_eq(simulation.state_of(i, fleet[1].id), member_state::dead);
        cr_assert_eq(simulation.state_of(i, fleet[5].id), member_state::live);
    }
    cr_assert_eq(simulation.regressions(), 0);
}

// Crashed members of a failure domain are detected in rounds that last
// `heartbeat_timeout`: first those with links from other instances, then those
// that replace them in the choice of peers. The six members need two rounds,
// followed by one `suspicion_timeout`.
Test(member_table,
     all_instances_detect_a_lost_failure_domain_within_thirty_seconds)
{
    const auto fleet = make_fleet(90, 5, 3);
    membership_simulation simulation(fleet, 1);
    simulation.run(absl::Seconds(10));
    const core::location lost = fleet.front().location;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet[i].location == lost)
            simulation.crash(i);
    }
    simulation.run(absl::Seconds(30));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet[i].location == lost)
            continue;
        for (const member& known : simulation.table(i).members()) {
            const bool is_lost = known.location == lost;
            cr_assert_eq(known.state,
                         is_lost ? member_state::dead : member_state::live);
        }
    }
}

Test(member_table, a_restarted_instance_learns_all_members_from_one_seed)
{
    const auto fleet = make_fleet(9, 3, 1);
    membership_simulation simulation(fleet, 11);
    simulation.run(absl::Seconds(10));
    simulation.crash(4);
    simulation.run(absl::Seconds(5));
    simulation.restart(4, {fleet[7]});
    simulation.run(absl::Seconds(15));
    cr_assert(simulation.tables_agree());
    cr_assert(all_live(simulation));
}

Test(member_table,
     lagging_platform_list_adds_unknown_members_and_changes_no_others)
{
    const auto fleet = make_fleet(3, 1, 1);
    member_table table({}, fleet[0]);
    std::vector<action> out;
    member leaving = fleet[1];
    leaving.state = member_state::leaving;
    table.step(absl::UnixEpoch(),
               member_update_received{fleet[1].id, {leaving}}, out);
    table.step(absl::UnixEpoch(), platform_listed{fleet}, out);
    const auto known = table.members();
    cr_assert_eq(known.size(), 3);
    cr_assert_eq(known[1].state, member_state::leaving);
    cr_assert_eq(known[2].incarnation, 0);
    cr_assert_eq(known[2].state, member_state::live);
}
