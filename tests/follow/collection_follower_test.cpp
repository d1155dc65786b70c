#include "oriolefall/follow/collection_follower.hpp"

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

stored_object object(const std::string& name, std::uint64_t revision,
                     const std::string& value = "{}")
{
    return {name, revision, value};
}

follower_settings settings()
{
    return {.collection = "servers"};
}

/// A follower that has listed these objects at revision 10.
collection_follower synced_follower(std::vector<stored_object> objects)
{
    collection_follower follower(settings());
    follower.on_result(start, list_page{std::move(objects), false, 10});
    return follower;
}

change_list deletion(const std::string& name, std::uint64_t revision)
{
    return {{{object(name, revision), true}}, revision};
}

const watch_call* watch_of(const read_call& call)
{
    return std::get_if<watch_call>(&call);
}

} // namespace

Test(collection_follower,
     lists_all_pages_and_watches_from_the_revision_of_the_first)
{
    collection_follower follower(settings());
    follower.on_result(start, list_page{{object("a", 1)}, true, 10});
    const auto next = follower.next_call().first;
    cr_assert_eq(std::get<list_call>(next).after, "a");
    cr_assert_not(follower.is_synced());
    cr_assert(
        follower.on_result(start, list_page{{object("b", 12)}, false, 14}));
    cr_assert_eq(follower.view().objects.size(), 2);
    // The watch also covers changes that were made between the pages.
    const auto watch = follower.next_call().first;
    cr_assert_eq(watch_of(watch)->from_revision, 10);
}

// Hundreds of instances that start together need seconds to list thousands of
// objects, and have to use the first pages meanwhile.
Test(collection_follower, publishes_pages_of_the_initial_list_as_they_arrive)
{
    collection_follower follower(settings());
    cr_assert(follower.on_result(start, list_page{{object("a", 1)}, true, 10}));
    cr_assert_eq(follower.view().objects.size(), 1);
    cr_assert(
        follower.on_result(start, list_page{{object("b", 2)}, false, 10}));
    cr_assert_eq(follower.view().objects.size(), 2);
}

Test(collection_follower, publishes_a_later_list_only_when_complete)
{
    auto follower = synced_follower({object("a", 1), object("b", 2)});
    follower.on_result(start, history_gone{});
    cr_assert_not(
        follower.on_result(start, list_page{{object("c", 3)}, true, 20}));
    cr_assert_eq(follower.view().objects.size(), 2);
    cr_assert(
        follower.on_result(start, list_page{{object("d", 4)}, false, 20}));
    cr_assert(follower.view().objects.contains("c"));
    cr_assert_not(follower.view().objects.contains("a"));
}

Test(collection_follower, ignores_an_older_revision)
{
    auto follower = synced_follower({object("a", 9, "new")});
    cr_assert_not(follower.on_result(
        start, change_list{{{object("a", 5, "old"), false}}, 11}));
    cr_assert_eq(follower.view().objects.at("a").value, "new");
    follower.on_result(start, history_gone{});
    follower.on_result(start, list_page{{object("a", 4, "old")}, false, 12});
    cr_assert_eq(follower.view().objects.at("a").value, "new");
}

Test(collection_follower, lists_again_after_history_gone)
{
    auto follower = synced_follower({object("a", 1), object("b", 2)});
    follower.on_result(start, history_gone{});
    cr_assert(std::holds_alternative<list_call>(follower.next_call().first));
    cr_assert(
        follower.on_result(start, list_page{{object("b", 2)}, false, 20}));
    cr_assert_not(follower.view().objects.contains("a"));
    cr_assert(follower.view().stale.empty());
}

Test(collection_follower,
     a_deletion_while_the_store_is_reachable_takes_effect_at_once)
{
    auto follower = synced_follower({object("a", 1)});
    cr_assert(follower.on_result(start, deletion("a", 11)));
    cr_assert(follower.view().objects.empty());
    cr_assert(follower.view().stale.empty());
}

Test(collection_follower, objects_removed_during_an_outage_become_stale)
{
    auto follower = synced_follower({object("a", 1), object("b", 2)});
    follower.on_result(start, call_failed{"timeout"});
    cr_assert(follower.is_unreachable());
    const absl::Time recovered_at = start + absl::Seconds(5);
    follower.on_result(recovered_at, change_list{{}, 11});
    follower.on_result(recovered_at + absl::Milliseconds(10),
                       deletion("a", 12));
    cr_assert(follower.view().stale.contains("a"));
    // The object is stored again before the timeout.
    follower.on_result(recovered_at + absl::Seconds(1),
                       change_list{{{object("a", 13), false}}, 13});
    cr_assert(follower.view().objects.contains("a"));
    cr_assert(follower.view().stale.empty());
    cr_assert_eq(follower.next_expiry(), absl::InfiniteFuture());
}

Test(collection_follower, stale_objects_are_dropped_after_the_timeout)
{
    auto follower = synced_follower({object("a", 1)});
    follower.on_result(start, call_failed{"timeout"});
    const absl::Time recovered_at = start + absl::Seconds(5);
    follower.on_result(recovered_at, deletion("a", 12));
    cr_assert_eq(follower.next_expiry(),
                 recovered_at + settings().stale_timeout);
    cr_assert_not(follower.expire(recovered_at + absl::Seconds(1)));
    cr_assert(follower.expire(recovered_at + settings().stale_timeout));
    cr_assert(follower.view().stale.empty());
}

Test(collection_follower, backoff_grows_with_each_failure_up_to_the_maximum)
{
    auto follower = synced_follower({});
    absl::Duration previous = absl::ZeroDuration();
    for (int i = 0; i < 12; ++i) {
        follower.on_result(start, call_failed{"reset"});
        const absl::Duration backoff = follower.next_call().second - start;
        cr_assert_geq(backoff, previous);
        cr_assert_leq(backoff, settings().max_backoff);
        previous = backoff;
    }
    follower.on_result(start, change_list{{}, 11});
    cr_assert_leq(follower.next_call().second, start);
}

Test(collection_follower, delays_the_next_watch_to_batch_changes)
{
    auto follower = synced_follower({});
    follower.on_result(start, change_list{{{object("a", 11), false}}, 11});
    cr_assert_eq(follower.next_call().second, start + settings().batch_delay);
}

Test(collection_follower, watches_with_a_short_timeout_until_the_store_answers)
{
    auto follower = synced_follower({});
    follower.on_result(start, call_failed{"timeout"});
    const auto first = follower.next_call().first;
    cr_assert_eq(watch_of(first)->timeout, settings().recovery_watch_timeout);
    follower.on_result(start, change_list{{}, 11});
    const auto next = follower.next_call().first;
    cr_assert_eq(watch_of(next)->timeout, settings().watch_timeout);
}
