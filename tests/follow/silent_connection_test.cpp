#include "oriolefall/follow/store_duty.hpp"
#include "oriolefall/follow/view_relay.hpp"

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;

namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::string settings_collection = "settings";
const stored_object first_version{"main", 10, "first"};
const stored_object second_version{"main", 11, "second"};
constexpr absl::Duration tick = absl::Milliseconds(10);
/// Time in which settings have to be in force everywhere.
constexpr absl::Duration apply_bound = absl::Seconds(4);

/// The store: holds the first version, and from some time on the second one.
struct model_store
{
    absl::Time changed_at = absl::InfiniteFuture();

    [[nodiscard]] change_list changes(absl::Time now,
                                      std::uint64_t revision) const
    {
        if (now < changed_at || revision >= second_version.revision)
            return {{}, revision};
        return {{{second_version, false}}, second_version.revision};
    }
};

/// An instance that calls the store. Its calls are answered at once, but for
/// those whose connection has fallen silent.
class simulated_instance
{
public:
    explicit simulated_instance(relay_role role)
        : follower_({.collection = settings_collection, .initial_role = role}),
          relay_({}, role, {{settings_collection, &follower_}})
    {
        follower_.on_result(
            start, list_page{{first_version}, false, first_version.revision});
    }

    void assign(const std::vector<core::instance_id>& watchers)
    {
        relay_.assign(start, {relay_.role(), watchers});
    }

    void silence_open_connections()
    {
        is_silent_ = watch_.has_value();
    }

    void step(absl::Time now, const model_store& store)
    {
        const auto [call, call_at] = follower_.next_call();
        if (!watch_ && call_at <= now) {
            watch_ = std::get<watch_call>(call);
            started_at_ = now;
            follower_.on_call_started(now);
        }
        if (watch_)
            step_watch(now, store);
        if (relay_.role() == relay_role::watcher && now >= next_check_at_) {
            next_check_at_ = now + store_duty_settings{}.path_check_interval;
            follower_.on_path_confirmed(now);
        }
    }

    std::pair<core::instance_id, view_query> next_query(absl::Time now)
    {
        return relay_.next_query(now);
    }

    [[nodiscard]] view_update answer(absl::Time now,
                                     const view_query& query) const
    {
        return relay_.answer(now, query);
    }

    void on_update(absl::Time now, const view_update& update)
    {
        relay_.on_update(now, update);
    }

    [[nodiscard]] bool has_second_version() const
    {
        return follower_.view().objects.at(second_version.name) ==
               second_version;
    }

private:
    void step_watch(absl::Time now, const model_store& store)
    {
        const absl::Time answered_by =
            started_at_ + watch_->timeout +
            (is_silent_
                 ? absl::FromChrono(store_duty_settings{}.watch_answer_timeout)
                 : absl::ZeroDuration());
        const change_list changes = store.changes(now, watch_->from_revision);
        const bool has_answer = !is_silent_ && !changes.changes.empty();
        if (!has_answer && now < answered_by)
            return;
        watch_.reset();
        if (std::exchange(is_silent_, false))
            follower_.on_result(now, call_failed{"timeout"});
        else
            follower_.on_result(now, changes);
    }

    collection_follower follower_;
    view_relay relay_;
    std::optional<watch_call> watch_;
    absl::Time started_at_;
    bool is_silent_ = false;
    absl::Time next_check_at_ = start;
};

/// Two watchers and two followers.
class simulated_region
{
public:
    simulated_region()
    {
        for (const auto role : {relay_role::watcher, relay_role::watcher,
                                relay_role::follower, relay_role::follower})
            instances_.emplace_back(role);
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            std::vector<core::instance_id> watchers{core::instance_id("0"),
                                                    core::instance_id("1")};
            std::erase(watchers, core::instance_id(std::to_string(i)));
            instances_[i].assign(watchers);
        }
    }

    void run_until(absl::Time end, const model_store& store)
    {
        for (; now_ < end; now_ += tick) {
            for (simulated_instance& each : instances_)
                each.step(now_, store);
            for (simulated_instance& each : instances_) {
                const auto [to, query] = each.next_query(now_);
                if (to.value().empty())
                    continue;
                const std::size_t asked = to.value() == "0" ? 0 : 1;
                each.on_update(now_, instances_[asked].answer(now_, query));
            }
        }
    }

    void silence_open_connections()
    {
        for (simulated_instance& each : instances_)
            each.silence_open_connections();
    }

    [[nodiscard]] bool has_second_version_everywhere() const
    {
        return std::ranges::all_of(instances_,
                                   &simulated_instance::has_second_version);
    }

private:
    /// Their relays point to their followers: never moved.
    std::deque<simulated_instance> instances_;
    absl::Time now_ = start;
};

} // namespace

// CONFIG: a version that was acknowledged just after the connections to the
// store had fallen silent was not in force in time, as the watches that would
// never be answered were taken for watches without news.
Test(silent_connection, delays_no_change_beyond_its_bound)
{
    const absl::Duration longest_phase = absl::Seconds(5);
    const absl::Duration phase_step = absl::Milliseconds(170);
    for (absl::Duration phase = absl::ZeroDuration(); phase < longest_phase;
         phase += phase_step) {
        simulated_region region;
        model_store store;
        const absl::Time silenced_at = start + absl::Seconds(20) + phase;
        region.run_until(silenced_at, store);
        region.silence_open_connections();
        store.changed_at = silenced_at;
        region.run_until(silenced_at + apply_bound, store);
        cr_assert(region.has_second_version_everywhere(),
                  "connections silent %s after the start",
                  absl::FormatDuration(silenced_at - start).c_str());
    }
}
