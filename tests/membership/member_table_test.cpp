#include "network.hpp"

#include <algorithm>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::membership;
using oriolefall::tests::make_fleet;
using oriolefall::tests::network;

namespace {

std::vector<member> any_news(const std::vector<member>& fleet)
{
    std::vector<member> news =
        *rc::gen::container<std::vector<member>>(rc::gen::elementOf(fleet));
    for (member& value : news) {
        value.incarnation = *rc::gen::inRange<std::uint64_t>(0, 5);
        value.state = *rc::gen::elementOf(std::vector<member_state>(
            all_member_states.begin(), all_member_states.end()));
    }
    return news;
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
        return platform_listed{any_news(fleet)};
    case 2:
        return link_opened{from};
    case 3:
        return link_closed{from};
    case 4:
        return buckets_received{from, {}};
    case 5:
        return tick{};
    default:
        return news_received{from, any_news(fleet)};
    }
}

const member* find(const std::vector<member>& members,
                   const core::instance_id& id)
{
    const auto at = std::ranges::find(members, id, &member::id);
    return at == members.end() ? nullptr : &*at;
}

bool all_live(const network& net)
{
    for (std::size_t at = 0; at < net.size(); ++at) {
        const auto known = net.table(at).members();
        if (known.size() != net.size() ||
            !std::ranges::all_of(known, [](const member& value) {
                return value.state == member_state::live;
            }))
            return false;
    }
    return true;
}

} // namespace

Test(member_table, nothing_that_is_known_goes_back)
{
    cr_assert(rc::check("no step back under any events", [] {
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
            for (const member& held : before) {
                const member* next = find(after, held.id);
                RC_ASSERT(next != nullptr);
                RC_ASSERT(!supersedes(held, *next));
                if (held.state == member_state::leaving)
                    RC_ASSERT(next->state >= member_state::leaving ||
                              next->incarnation > held.incarnation);
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
        member_table one({}, fleet.front());
        member_table two({}, fleet.front());
        absl::Time now = absl::UnixEpoch();
        for (int i = 0; i < 20; ++i) {
            now += absl::Milliseconds(*rc::gen::inRange(0, 8000));
            const event next = any_event(fleet);
            std::vector<action> out_one;
            std::vector<action> out_two;
            one.step(now, next, out_one);
            two.step(now, next, out_two);
            RC_ASSERT(out_one == out_two);
        }
    }));
}

Test(member_map, merges_alike_in_any_order)
{
    cr_assert(rc::check("commutative and idempotent", [] {
        const auto fleet = make_fleet(6, 2, 2);
        std::vector<member> news = any_news(fleet);
        member_map one(100);
        member_map two(100);
        const auto merge_all = [&](member_map& map) {
            for (const member& value : fleet)
                map.merge(absl::UnixEpoch(), value);
            for (const member& value : news)
                map.merge(absl::UnixEpoch(), value);
        };
        merge_all(one);
        std::ranges::reverse(news);
        merge_all(two);
        merge_all(two);
        RC_ASSERT(one.all() == two.all());
        RC_ASSERT(one.digest() == two.digest());
    }));
}

Test(member_table, tables_converge_after_loss_reorder_and_partition)
{
    cr_assert(rc::check("convergence", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        network net(make_fleet(size, 3, 2), *rc::gen::arbitrary<unsigned>());
        net.disturb(0.3, absl::Seconds(2));
        net.run(absl::Seconds(20));
        const auto sides =
            *rc::gen::container<std::vector<int>>(size, rc::gen::inRange(0, 2));
        net.partition(sides);
        const auto paused = *rc::gen::inRange<std::size_t>(0, size);
        net.pause(paused, true);
        net.run(absl::Seconds(*rc::gen::inRange(5, 300)));
        net.pause(paused, false);
        net.partition(std::vector<int>(size, 0));
        net.disturb(0.0, absl::Milliseconds(200));
        net.run(absl::Minutes(8));
        RC_ASSERT(net.agrees());
        RC_ASSERT(all_live(net));
        RC_ASSERT(net.steps_back() == 0U);
    }));
}

Test(member_table, a_crash_is_found_everywhere_and_forgotten_in_time)
{
    cr_assert(rc::check("crash", [] {
        const auto size = *rc::gen::inRange<std::size_t>(3, 16);
        const auto fleet = make_fleet(size, 3, 2);
        membership_settings settings;
        settings.forget_after = absl::Minutes(3);
        network net(fleet, *rc::gen::arbitrary<unsigned>(), settings);
        net.run(absl::Seconds(10));
        RC_ASSERT(all_live(net));
        net.crash(0);
        net.run(absl::Seconds(60));
        for (std::size_t at = 1; at < size; ++at)
            RC_ASSERT(net.state_of(at, fleet[0].id) == member_state::dead);
        net.run(settings.forget_after);
        for (std::size_t at = 1; at < size; ++at)
            RC_ASSERT(net.table(at).members().size() == size - 1);
        RC_ASSERT(net.agrees());
    }));
}

Test(member_table, a_leaving_mark_reaches_all_and_stays)
{
    cr_assert(rc::check("leaving", [] {
        const auto size = *rc::gen::inRange<std::size_t>(2, 12);
        const auto fleet = make_fleet(size, 3, 2);
        network net(fleet, *rc::gen::arbitrary<unsigned>());
        net.run(absl::Seconds(10));
        net.give(0, leave_requested{});
        net.disturb(0.2, absl::Seconds(1));
        net.run(absl::Seconds(20));
        net.give(size - 1, platform_listed{fleet});
        net.give(size - 1, news_received{fleet[0].id, fleet});
        net.disturb(0.0, absl::ZeroDuration());
        net.run(absl::Minutes(2));
        for (std::size_t at = 0; at < size; ++at)
            RC_ASSERT(net.state_of(at, fleet[0].id) == member_state::leaving);
        net.crash(0);
        net.run(absl::Seconds(60));
        for (std::size_t at = 1; at < size; ++at)
            RC_ASSERT(net.state_of(at, fleet[0].id) == member_state::dead);
    }));
}

Test(member_table, a_paused_instance_that_returns_undoes_nothing)
{
    const auto fleet = make_fleet(6, 3, 1);
    network net(fleet, 7);
    net.run(absl::Seconds(10));
    net.pause(5, true);
    net.run(absl::Seconds(10));
    net.give(0, leave_requested{});
    net.crash(1);
    net.run(absl::Seconds(90));
    cr_assert_eq(net.state_of(2, fleet[5].id), member_state::dead);
    net.pause(5, false);
    net.run(absl::Seconds(40));
    for (const std::size_t at : {0U, 2U, 3U, 4U, 5U}) {
        cr_assert_eq(net.state_of(at, fleet[0].id), member_state::leaving);
        cr_assert_eq(net.state_of(at, fleet[1].id), member_state::dead);
        cr_assert_eq(net.state_of(at, fleet[5].id), member_state::live);
    }
    cr_assert_eq(net.steps_back(), 0);
}

// Members of a lost failure domain are found in rounds of `suspect_after`:
// those that others are linked to first, then those that take their place in
// the choice of peers. Two rounds for six, and `dead_after` once.
Test(member_table, a_lost_failure_domain_is_known_to_all_within_thirty_seconds)
{
    const auto fleet = make_fleet(90, 5, 3);
    network net(fleet, 1);
    net.run(absl::Seconds(10));
    const core::location lost = fleet.front().location;
    for (std::size_t at = 0; at < fleet.size(); ++at) {
        if (fleet[at].location == lost)
            net.crash(at);
    }
    net.run(absl::Seconds(30));
    for (std::size_t at = 0; at < fleet.size(); ++at) {
        if (fleet[at].location == lost)
            continue;
        for (const member& known : net.table(at).members()) {
            const bool is_lost = known.location == lost;
            cr_assert_eq(known.state,
                         is_lost ? member_state::dead : member_state::live);
        }
    }
}

Test(member_table, a_restarted_instance_learns_all_from_one_seed)
{
    const auto fleet = make_fleet(9, 3, 1);
    network net(fleet, 11);
    net.run(absl::Seconds(10));
    net.crash(4);
    net.run(absl::Seconds(5));
    net.restart(4, {fleet[7]});
    net.run(absl::Seconds(15));
    cr_assert(net.agrees());
    cr_assert(all_live(net));
}

Test(member_table, lagging_list_adds_the_unknown_and_undoes_nothing)
{
    const auto fleet = make_fleet(3, 1, 1);
    member_table table({}, fleet[0]);
    std::vector<action> out;
    member left = fleet[1];
    left.state = member_state::leaving;
    table.step(absl::UnixEpoch(), news_received{fleet[1].id, {left}}, out);
    table.step(absl::UnixEpoch(), platform_listed{fleet}, out);
    const auto known = table.members();
    cr_assert_eq(known.size(), 3);
    cr_assert_eq(known[1].state, member_state::leaving);
    cr_assert_eq(known[2].incarnation, 0);
    cr_assert_eq(known[2].state, member_state::live);
}
