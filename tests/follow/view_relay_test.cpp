#include "oriolefall/follow/view_relay.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::string servers = "servers";

stored_object object(const std::string& name, std::uint64_t revision)
{
    return {name, revision, std::to_string(revision)};
}

follower_settings settings(relay_role role)
{
    return {.collection = servers, .initial_role = role};
}

/// A follower of the collection in this role that has listed these objects.
collection_follower synced(relay_role role, std::vector<stored_object> objects,
                           std::uint64_t revision, absl::Time now = start)
{
    collection_follower follower(settings(role));
    follower.on_result(now, list_page{std::move(objects), false, revision});
    return follower;
}

/// A peer that knows the collection up to revision 10 says that the store had
/// nothing newer so long ago.
collection_update confirmation(absl::Duration age)
{
    collection_update update;
    update.collection = servers;
    update.from_revision = 10;
    update.revision = 10;
    update.age = age;
    return update;
}

view_relay relay_of(collection_follower& follower, relay_role role)
{
    return {relay_settings{}, role, {{servers, &follower}}};
}

} // namespace

Test(view_relay, a_follower_receives_changes_and_deletions_from_a_watcher)
{
    auto watcher =
        synced(relay_role::watcher, {object("a", 1), object("b", 2)}, 10);
    auto follower =
        synced(relay_role::follower, {object("a", 1), object("b", 2)}, 10);
    watcher.on_result(
        start,
        change_list{{{object("a", 11), false}, {{"b", 12, {}}, true}}, 12});
    const auto update = watcher.update_since(start, {servers, 10});
    cr_assert_not(update.is_snapshot);
    cr_assert(follower.on_relayed(start, start, update));
    cr_assert_eq(follower.view(), watcher.view());
    cr_assert_eq(follower.revision().revision, 12);
}

Test(view_relay, a_confirmed_follower_makes_no_calls)
{
    auto follower = synced(relay_role::follower, {object("a", 1)}, 10);
    const auto update = confirmation(absl::Milliseconds(200));
    absl::Time now = start;
    for (int i = 0; i < 100; ++i) {
        now += absl::Milliseconds(500);
        follower.on_relayed(now, now, update);
        cr_assert_gt(follower.next_call().second, now);
    }
}

// Watchers that are frozen, cut from the store or killed confirm nothing; a
// follower has to apply settings within seconds all the same.
Test(view_relay, a_follower_without_confirmation_calls_the_store)
{
    auto follower = synced(relay_role::follower, {object("a", 1)}, 10);
    const absl::Time last = start + absl::Seconds(60);
    follower.on_relayed(last, last, confirmation(absl::ZeroDuration()));
    const auto timeout = settings(relay_role::follower).relay_timeout;
    cr_assert_eq(follower.next_call().second, last + timeout);
    // The watcher answers, but has not heard from the store for a while.
    const absl::Time later = last + absl::Seconds(5);
    follower.on_relayed(later, later, confirmation(absl::Seconds(4)));
    cr_assert_leq(follower.next_call().second, later);
}

// A version that is relayed late, past a newer one.
Test(view_relay, a_late_answer_neither_reverts_nor_confirms)
{
    auto follower = synced(relay_role::follower, {object("a", 12)}, 12);
    const auto late = synced(relay_role::watcher, {object("a", 9)}, 10)
                          .update_since(start, {servers, 0});
    cr_assert_not(follower.on_relayed(start, start, late));
    cr_assert_eq(follower.view().objects.at("a").revision, 12);
    cr_assert_eq(follower.confirmed_at(), absl::InfinitePast());
}

Test(view_relay, an_answer_is_as_old_as_its_query)
{
    auto follower = synced(relay_role::follower, {object("a", 1)}, 10);
    auto relay = relay_of(follower, relay_role::follower);
    const core::instance_id watcher("w");
    relay.assign(start, {relay_role::follower, {watcher}});
    const auto [to, query] = relay.next_query(start);
    cr_assert_eq(to, watcher);
    view_update update{query.query_id, {confirmation(absl::Milliseconds(100))}};
    // A link that lost packets delivers it three seconds later.
    relay.on_update(start + absl::Seconds(3), update);
    cr_assert_eq(follower.confirmed_at(), start - absl::Milliseconds(100));
    // The same answer again, or one to a query that was never sent.
    update.collections.front().age = absl::ZeroDuration();
    relay.on_update(start + absl::Seconds(3), update);
    cr_assert_eq(follower.confirmed_at(), start - absl::Milliseconds(100));
}

Test(view_relay, queries_go_to_the_watchers_in_turn)
{
    auto follower = synced(relay_role::follower, {}, 10);
    auto relay = relay_of(follower, relay_role::follower);
    const core::instance_id one("one");
    const core::instance_id two("two");
    relay.assign(start, {relay_role::follower, {one, two}});
    absl::Time now = start;
    std::map<core::instance_id, int> queries;
    for (int i = 0; i < 10; ++i) {
        ++queries[relay.next_query(now).first];
        cr_assert(relay.next_query(now).first.value().empty());
        now += relay_settings{}.query_interval;
    }
    cr_assert_eq(queries[one], 5);
    cr_assert_eq(queries[two], 5);
}

Test(view_relay, a_role_is_taken_on_only_when_it_lasts)
{
    auto follower = synced(relay_role::follower, {}, 10);
    auto relay = relay_of(follower, relay_role::follower);
    const auto delay = relay_settings{}.role_delay;
    relay.assign(start, {relay_role::watcher, {}});
    cr_assert_not(relay.update_role(start + delay / 2));
    relay.assign(start + delay / 2, {relay_role::follower, {}});
    cr_assert_not(relay.update_role(start + delay));
    relay.assign(start + delay, {relay_role::watcher, {}});
    cr_assert(relay.update_role(start + delay * 2));
    cr_assert_eq(relay.role(), relay_role::watcher);
    cr_assert_leq(follower.next_call().second, start + delay * 2);
}

Test(view_relay, a_pending_watch_is_confirmed_by_checks_of_the_path)
{
    auto watcher = synced(relay_role::watcher, {object("a", 1)}, 10);
    cr_assert_eq(watcher.update_since(start, {servers, 10}).age,
                 absl::InfiniteDuration());
    watcher.on_call_started(start);
    const absl::Time checked = start + absl::Seconds(5);
    watcher.on_path_confirmed(checked);
    cr_assert_eq(
        watcher.update_since(checked + absl::Seconds(1), {servers, 10}).age,
        absl::Seconds(1));
    watcher.on_result(checked, call_failed{"reset"});
    watcher.on_path_confirmed(checked + absl::Seconds(1));
    cr_assert_eq(watcher.confirmed_at(), checked);
}

// After changes a watcher waits before it watches again. Changes made meanwhile
// are not known, however well the store is reached.
Test(view_relay, a_path_check_confirms_nothing_without_a_pending_watch)
{
    auto watcher = synced(relay_role::watcher, {object("a", 1)}, 10);
    watcher.on_call_started(start);
    watcher.on_result(start, change_list{{{object("a", 11), false}}, 11});
    const absl::Time between = start + absl::Milliseconds(100);
    watcher.on_path_confirmed(between);
    cr_assert_eq(watcher.confirmed_at(), start);
    const absl::Time watched = start + absl::Milliseconds(500);
    watcher.on_call_started(watched);
    watcher.on_path_confirmed(between);
    cr_assert_eq(watcher.confirmed_at(), start);
    watcher.on_path_confirmed(watched);
    cr_assert_eq(watcher.confirmed_at(), watched);
}

// An instance that had learned of an object and its deletion at once told no
// peer of the deletion: peers that had the object kept it for good.
Test(view_relay, a_deletion_of_an_object_that_was_never_known_is_passed_on)
{
    auto between = synced(relay_role::watcher, {}, 10);
    auto follower = synced(relay_role::follower, {}, 10);
    follower.on_result(start, change_list{{{object("a", 11), false}}, 11});
    collection_update update;
    update.collection = servers;
    update.from_revision = 10;
    update.revision = 12;
    update.changes = {{{"a", 12, {}}, true}};
    cr_assert_not(between.on_relayed(start, start, update));
    cr_assert(follower.on_relayed(start, start,
                                  between.update_since(start, {servers, 11})));
    cr_assert(follower.view().objects.empty());
}

// The answer to a watch was on its way while a peer told of what came after it.
Test(view_relay, a_late_answer_brings_no_deleted_object_back)
{
    auto follower = synced(relay_role::follower, {}, 10);
    follower.on_call_started(start);
    collection_update update;
    update.collection = servers;
    update.from_revision = 10;
    update.revision = 12;
    update.changes = {{{"a", 12, {}}, true}};
    follower.on_relayed(start, start, update);
    follower.on_result(start, change_list{{{object("a", 11), false}}, 11});
    cr_assert(follower.view().objects.empty());
    follower.on_result(start, change_list{{{object("a", 13), false}}, 13});
    cr_assert_eq(follower.view().objects.size(), 1);
}

Test(view_relay, a_peer_beyond_the_logged_deletions_is_sent_everything)
{
    auto watcher = synced(relay_role::watcher, {object("a", 20)}, 20);
    auto follower = synced(relay_role::follower, {object("gone", 5)}, 10);
    const auto update = watcher.update_since(start, {servers, 10});
    cr_assert(update.is_snapshot);
    cr_assert(follower.on_relayed(start, start, update));
    cr_assert_eq(follower.view(), watcher.view());
}

Test(view_relay, servers_that_lapsed_in_an_outage_are_stale_at_followers_too)
{
    auto watcher = synced(relay_role::watcher, {object("a", 1)}, 10);
    auto follower = synced(relay_role::follower, {object("a", 1)}, 10);
    watcher.on_result(start, call_failed{"reset"});
    const absl::Time back = start + absl::Seconds(1);
    watcher.on_result(back, change_list{{{{"a", 11, {}}, true}}, 11});
    const absl::Time now = back + absl::Milliseconds(300);
    follower.on_relayed(now, now, watcher.update_since(now, {servers, 10}));
    cr_assert(follower.view().objects.empty());
    cr_assert(follower.view().stale.contains("a"));
}

Test(view_relay, an_answer_that_is_too_large_is_left_to_the_store)
{
    auto watcher =
        synced(relay_role::watcher, {{"a", 11, std::string(2000, 'x')}}, 11);
    const view_relay relay({.max_update_bytes = 1000}, relay_role::watcher,
                           {{servers, &watcher}});
    cr_assert(relay.answer(start, {1, {{servers, 10}}}).collections.empty());
    cr_assert_eq(relay.answer(start, {1, {{servers, 11}}}).collections.size(),
                 1);
}

// A third of the fleet was turned away by the store for nine seconds, and each
// answer of a peer made those instances call it again at once.
Test(view_relay, a_watcher_that_is_turned_away_calls_rarely_while_confirmed)
{
    auto watcher = synced(relay_role::watcher, {object("a", 1)}, 10);
    absl::Time now = start;
    int calls = 0;
    for (int i = 0; i < 90; ++i) {
        now += absl::Milliseconds(100);
        watcher.on_relayed(now, now, confirmation(absl::ZeroDuration()));
        if (watcher.next_call().second > now)
            continue;
        ++calls;
        watcher.on_result(now, call_failed{"status 503"});
    }
    cr_assert_leq(calls, 6);
    cr_assert(watcher.is_unreachable());
}

// The first list may be older than the first settings.
Test(view_relay, an_empty_first_list_is_repeated_cheaply)
{
    auto first = settings(relay_role::follower);
    first.may_start_stale = true;
    collection_follower follower(first);
    follower.on_result(start, list_page{{}, false, 10});
    cr_assert_not(follower.is_synced());
    const auto [call, call_at] = follower.next_call();
    cr_assert(std::get<list_call>(call).may_be_stale);
    cr_assert_eq(call_at, start + first.relist_delay);
    cr_assert(
        follower.on_result(call_at, list_page{{object("a", 11)}, false, 11}));
    cr_assert(follower.is_synced());
}
