#include "oriolefall/follow/view_relay.hpp"
#include "tests/follow/model_store.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;
using tests::model_store;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::string servers = "servers";

follower_settings settings(relay_role role)
{
    return {.collection = servers, .initial_role = role};
}

/// The changes beyond a revision that the store has reached.
change_list changes_of(const model_store& store, std::uint64_t revision)
{
    return std::get<change_list>(store.changes_since(revision));
}

/// An instance with its relay.
struct instance
{
    explicit instance(relay_role role)
        : follower(settings(role)), relay({}, role, {{servers, &follower}})
    {
    }

    /// Sends a watch if one is due. It is answered at once where there are
    /// changes, and otherwise stays pending.
    void watch(absl::Time now, const model_store& store)
    {
        if (is_watching || follower.next_call().second > now)
            return;
        follower.on_call_started(now);
        is_watching = true;
        answer_watch(now, store);
    }

    void answer_watch(absl::Time now, const model_store& store)
    {
        auto changes = changes_of(store, follower.revision().revision);
        if (!is_watching || changes.changes.empty())
            return;
        is_watching = false;
        follower.on_result(now, std::move(changes));
    }

    collection_follower follower;
    view_relay relay;
    bool is_watching = false;
};

} // namespace

// Random schedules of writes, watches, queries, late and lost answers: no view
// ever goes back, none is confirmed for a time at which it was not the newest,
// and a follower whose view isn't confirmed calls the store in time.
Test(view_relay, random_schedules_never_revert_nor_confirm_falsely)
{
    const bool holds = rc::check("view relay", [] {
        model_store store;
        for (const char* name : {"a", "b", "c"})
            store.put(name);
        std::vector<instance> fleet;
        fleet.reserve(4);
        for (const auto role : {relay_role::watcher, relay_role::watcher,
                                relay_role::follower, relay_role::follower})
            fleet.emplace_back(role);
        const std::vector<core::instance_id> watchers{core::instance_id("0"),
                                                      core::instance_id("1")};
        absl::Time now = start;
        /// The revision of the store at each time of a change.
        std::map<absl::Time, std::uint64_t> history{{now, store.revision()}};
        for (instance& each : fleet) {
            each.follower.on_result(now, store.list());
            each.relay.assign(now, {each.relay.role(), watchers});
        }
        struct delayed_update
        {
            std::size_t to;
            view_update update;
        };
        std::vector<delayed_update> in_flight;
        const auto name = [] {
            return std::string(1, *rc::gen::inRange('a', 'f'));
        };
        const auto check = [&](instance& each, std::uint64_t before) {
            RC_ASSERT(each.follower.revision().revision >= before);
            const absl::Time confirmed = each.follower.confirmed_at();
            if (confirmed < start)
                return;
            const auto newest = std::prev(history.upper_bound(confirmed));
            const auto changes =
                changes_of(store, each.follower.revision().revision);
            for (const object_change& change : changes.changes)
                RC_ASSERT(change.object.revision > newest->second);
        };
        const int steps = *rc::gen::inRange(20, 160);
        for (int step = 0; step < steps; ++step) {
            now += absl::Milliseconds(*rc::gen::inRange(1, 400));
            const std::size_t chosen = *rc::gen::inRange<std::size_t>(0, 4);
            instance& each = fleet[chosen];
            const std::uint64_t before = each.follower.revision().revision;
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
                store.put(name());
                history[now] = store.revision();
                break;
            case 1:
                store.remove(name());
                history[now] = store.revision();
                break;
            case 2:
                each.watch(now, store);
                break;
            case 6:
                each.follower.on_path_confirmed(now);
                break;
            case 3: {
                const auto [to, query] = each.relay.next_query(now);
                if (to.value().empty())
                    break;
                const auto& asked = fleet[to == watchers[0] ? 0 : 1];
                in_flight.push_back({chosen, asked.relay.answer(now, query)});
                break;
            }
            case 4:
                if (!in_flight.empty()) {
                    const auto index =
                        *rc::gen::inRange<std::size_t>(0, in_flight.size());
                    const delayed_update arrived = in_flight[index];
                    in_flight.erase(in_flight.begin() +
                                    static_cast<std::ptrdiff_t>(index));
                    instance& receiver = fleet[arrived.to];
                    const auto known = receiver.follower.revision().revision;
                    receiver.relay.on_update(now, arrived.update);
                    check(receiver, known);
                }
                break;
            default:
                if (!in_flight.empty())
                    in_flight.pop_back();
            }
            for (instance& watching : fleet)
                watching.answer_watch(now, store);
            check(each, before);
            const auto limits = settings(relay_role::follower);
            if (now - each.follower.confirmed_at() > limits.relay_timeout)
                RC_ASSERT(each.follower.next_call().second <=
                          std::max(now, start + limits.initial_relay_timeout));
        }
        for (instance& each : fleet) {
            each.follower.on_result(
                now, changes_of(store, each.follower.revision().revision));
            RC_ASSERT(each.follower.view().objects == store.objects());
        }
    });
    cr_assert(holds);
}
