#include "oriolefall/follow/view_relay.hpp"
#include "tests/follow/model_store.hpp"

#include <rapidcheck.h>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;
using tests::model_store;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::string servers = "servers";
constexpr std::uint64_t first_epoch = 1;
constexpr std::uint64_t second_epoch = 2;

stored_object object(const std::string& name, std::uint64_t revision,
                     const std::string& value)
{
    return {name, revision, value};
}

/// A follower that has listed these objects at revision 120 of the first epoch.
collection_follower synced(std::vector<stored_object> objects,
                           relay_role role = relay_role::independent)
{
    collection_follower follower({.collection = servers, .initial_role = role});
    follower.on_result(start, list_page{std::move(objects), false, 120},
                       first_epoch);
    return follower;
}

/// The answer to a watch that the store gives after it was restored.
bool hear_of_restore(collection_follower& follower, absl::Time now)
{
    follower.on_call_started(now);
    return follower.on_result(now, change_list{{}, 101}, second_epoch);
}

/// The same, and then the list of the restored store at revision 100.
void restore(collection_follower& follower, absl::Time now,
             std::vector<stored_object> objects)
{
    hear_of_restore(follower, now);
    follower.on_call_started(now);
    follower.on_result(now, list_page{std::move(objects), false, 100},
                       second_epoch);
}

} // namespace

// CONFIG: after the store had been restored, all that was written to it was
// refused as older, for the numbers of its revisions were.
Test(restored_store, what_is_written_after_it_replaces_what_was_known)
{
    auto follower = synced({object("main", 118, "14")});
    restore(follower, start, {object("main", 90, "11")});
    cr_assert_eq(follower.view().objects.at("main").value, "11");
    cr_assert_eq(std::get<watch_call>(follower.next_call().first).from_revision,
                 100);
    follower.on_call_started(start);
    cr_assert(follower.on_result(
        start, change_list{{{object("main", 103, "16"), false}}, 103},
        second_epoch));
    cr_assert_eq(follower.view().objects.at("main").value, "16");
}

// Where the store has already passed the revision of a watch, no lost history
// says that it was restored, and the changes in between would be missed.
Test(restored_store, is_listed_anew_though_a_watch_is_answered)
{
    auto follower = synced({object("a", 118, "old")});
    follower.on_call_started(start);
    cr_assert_not(follower.on_result(
        start, change_list{{{object("b", 125, "new"), false}}, 125},
        second_epoch));
    cr_assert_not(follower.view().objects.contains("b"));
    cr_assert(std::holds_alternative<list_call>(follower.next_call().first));
}

Test(restored_store, pages_of_two_epochs_are_not_joined)
{
    collection_follower follower({.collection = servers});
    follower.on_result(start, list_page{{object("a", 118, "1")}, true, 120},
                       first_epoch);
    follower.on_result(start, list_page{{object("b", 90, "1")}, false, 100},
                       second_epoch);
    cr_assert_not(follower.is_synced());
    cr_assert(std::get<list_call>(follower.next_call().first).after.empty());
}

Test(restored_store, a_list_from_before_is_not_taken)
{
    auto follower = synced({object("a", 118, "old")});
    hear_of_restore(follower, start);
    restore(follower, start, {object("a", 90, "older")});
    follower.on_call_started(start);
    follower.on_result(start, history_gone{}, second_epoch);
    follower.on_call_started(start);
    // An answer that may be stale, or was on its way for long.
    follower.on_result(start, list_page{{object("a", 118, "old")}, false, 120},
                       first_epoch);
    cr_assert_eq(follower.view().objects.at("a").value, "older");
    cr_assert_gt(follower.next_call().second, start);
}

// An instance that has not heard of the restore must not bring the past back.
Test(restored_store, a_peer_of_an_earlier_epoch_changes_and_confirms_nothing)
{
    const auto late = synced({object("a", 118, "old")}, relay_role::watcher);
    auto follower = synced({object("a", 118, "old")}, relay_role::follower);
    restore(follower, start, {object("a", 90, "restored")});
    auto update = late.update_since(start, follower.revision());
    cr_assert(update.changes.empty());
    update.age = absl::ZeroDuration();
    cr_assert_not(follower.on_relayed(start, start, update));
    cr_assert_eq(follower.view().objects.at("a").value, "restored");
    cr_assert_eq(follower.confirmed_at(), absl::InfinitePast());
}

Test(restored_store, a_peer_of_a_later_epoch_replaces_all)
{
    auto watcher = synced({object("a", 118, "old")}, relay_role::watcher);
    auto follower = synced({object("a", 118, "old"), object("b", 119, "old")},
                           relay_role::follower);
    restore(watcher, start, {object("a", 90, "restored")});
    const auto update = watcher.update_since(start, follower.revision());
    cr_assert(update.is_snapshot);
    cr_assert(follower.on_relayed(start, start, update));
    cr_assert_eq(follower.view().objects, watcher.view().objects);
    cr_assert(follower.view().stale.contains("b"));
    cr_assert_eq(follower.revision(), watcher.revision());
    // The answer to a watch that was sent before asked for another past.
    cr_assert_not(follower.on_result(
        start, change_list{{{object("c", 125, "new"), false}}, 125},
        second_epoch));
    cr_assert_not(follower.view().objects.contains("c"));
    cr_assert_eq(follower.revision().revision, 100);
}

Test(restored_store, a_path_check_of_another_epoch_confirms_nothing)
{
    auto watcher = synced({object("a", 118, "old")}, relay_role::watcher);
    watcher.on_call_started(start);
    watcher.on_path_confirmed(start + absl::Seconds(1), second_epoch);
    cr_assert_eq(watcher.confirmed_at(), absl::InfinitePast());
    watcher.on_path_confirmed(start + absl::Seconds(1), first_epoch);
    cr_assert_eq(watcher.confirmed_at(), start + absl::Seconds(1));
}

Test(restored_store, objects_that_it_lacks_are_stale_for_some_time)
{
    auto follower = synced({object("a", 80, "1"), object("b", 118, "1")});
    restore(follower, start, {object("a", 80, "1")});
    cr_assert_eq(follower.view().objects.size(), 1);
    cr_assert(follower.view().stale.contains("b"));
    cr_assert(follower.view().lost_changes.empty());
    cr_assert(follower.expire(follower.next_expiry()));
    cr_assert(follower.view().stale.empty());
}

// DRAIN: a server that was known to leave was called again, as the copy was
// made before.
Test(restored_store, lost_changes_are_remembered_until_they_are_made_again)
{
    auto follower =
        synced({object("leaving", 118, "draining"), object("gone", 80, "ready"),
                object("same", 80, "ready")});
    follower.on_call_started(start);
    follower.on_result(start,
                       change_list{{{object("gone", 121, ""), true}}, 121},
                       first_epoch);
    restore(follower, start,
            {object("leaving", 80, "ready"), object("gone", 80, "ready"),
             object("same", 80, "ready")});
    const auto& lost = follower.view().lost_changes;
    cr_assert_eq(lost.size(), 2);
    cr_assert_eq(lost.at("leaving").object.value, "draining");
    cr_assert(lost.at("gone").is_deleted);
    follower.on_call_started(start);
    follower.on_result(
        start, change_list{{{object("leaving", 101, "draining"), false}}, 101},
        second_epoch);
    cr_assert_eq(lost.size(), 1);
    cr_assert(follower.expire(follower.next_expiry()));
    cr_assert(lost.empty());
    cr_assert_eq(follower.next_expiry(), absl::InfiniteFuture());
}

// Random schedules of writes, restores, calls of the store and late answers of
// peers: no instance ever returns to an earlier epoch, and once each has called
// the store, all know what it holds.
Test(restored_store, random_schedules_end_with_what_the_store_holds)
{
    const bool holds = rc::check("restored store", [] {
        model_store store;
        for (const char* name : {"a", "b", "c"})
            store.put(name);
        store.copy();
        absl::Time now = start;
        std::vector<collection_follower> fleet;
        for (const auto role : {relay_role::watcher, relay_role::follower,
                                relay_role::follower}) {
            fleet.emplace_back(
                follower_settings{.collection = servers, .initial_role = role});
            fleet.back().on_result(now, store.list(), store.epoch());
        }
        std::vector<std::pair<std::size_t, collection_update>> in_flight;
        const auto name = [] {
            return std::string(1, *rc::gen::inRange('a', 'f'));
        };
        const auto index = [](std::size_t size) {
            return *rc::gen::inRange<std::size_t>(0, size);
        };
        const int steps = *rc::gen::inRange(20, 160);
        for (int step = 0; step < steps; ++step) {
            now += absl::Milliseconds(*rc::gen::inRange(1, 400));
            const std::size_t chosen = index(fleet.size());
            collection_follower& each = fleet[chosen];
            const std::uint64_t epoch = each.revision().epoch;
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
            case 1:
                store.put(name());
                break;
            case 2:
                store.remove(name());
                break;
            case 3:
                store.copy();
                break;
            case 4:
                store.restore();
                break;
            case 5:
                store.answer(now, each);
                break;
            case 6:
                in_flight.emplace_back(chosen,
                                       fleet[index(fleet.size())].update_since(
                                           now, each.revision()));
                break;
            default:
                if (in_flight.empty())
                    break;
                const auto at =
                    in_flight.begin() +
                    static_cast<std::ptrdiff_t>(index(in_flight.size()));
                fleet[at->first].on_relayed(now, now, at->second);
                in_flight.erase(at);
            }
            RC_ASSERT(each.revision().epoch >= epoch);
        }
        for (collection_follower& each : fleet) {
            // The epoch, the list, and what came since.
            for (int call = 0; call < 3; ++call)
                store.answer(now, each);
            RC_ASSERT(each.view().objects == store.objects());
            RC_ASSERT(each.revision().epoch == store.epoch());
        }
    });
    cr_assert(holds);
}
