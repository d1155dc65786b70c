#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

/// Instances before engines of which some name a limit in each answer, with
/// requests that arrive at the instances in turn.
class limited_fleet
{
public:
    limited_fleet(std::size_t instances, std::size_t engines,
                  std::size_t limited, double limit)
        : limited_count_(limited), limit_(limit)
    {
        std::vector<server_entry> entries;
        for (std::size_t i = 0; i < engines; ++i)
            entries.push_back(
                make_server_entry("e" + std::to_string(i), "engine"));
        for (std::size_t i = 0; i < instances; ++i) {
            instances_.push_back(std::make_unique<dispatcher_simulation>());
            dispatcher_simulation& each = *instances_.back();
            each.step(
                fleet_size_changed{static_cast<std::uint32_t>(instances)});
            each.set_routes(make_route_settings(1));
            each.set_servers(entries);
        }
    }

    /// Receives one request each `interval`, for `time`.
    void run(absl::Duration time, absl::Duration interval)
    {
        for (; time > absl::ZeroDuration(); time -= interval) {
            const std::size_t at = next_instance_++ % instances_.size();
            receive_at(at);
            for (const auto& each : instances_)
                each->advance(interval);
            answer_due_calls();
        }
    }

    /// Most requests that a limited engine got in 4 s from `begin` on.
    [[nodiscard]] std::size_t most_in_window(absl::Duration begin) const
    {
        constexpr auto window = absl::Seconds(4);
        std::size_t most = 0;
        for (const auto& [server, times] : arrivals_)
            for (const absl::Time first : times) {
                if (first < start_ + begin)
                    continue;
                const auto count =
                    std::ranges::count_if(times, [first](absl::Time each) {
                        return each >= first && each < first + window;
                    });
                most = std::max(most, static_cast<std::size_t>(count));
            }
        return most;
    }

    [[nodiscard]] std::size_t arrivals_of_limited() const
    {
        std::size_t total = 0;
        for (const auto& [server, times] : arrivals_)
            total += times.size();
        return total;
    }

    /// From now on the engines name no limit.
    void lift_limits()
    {
        limited_count_ = 0;
    }

    [[nodiscard]] std::size_t refused() const
    {
        std::size_t total = 0;
        for (const auto& each : instances_)
            total += each->count<refuse>();
        return total;
    }

    /// Requests per second at an engine that names `limit`, in 4 s.
    [[nodiscard]] std::size_t most_allowed() const
    {
        constexpr double window_seconds = 4;
        return static_cast<std::size_t>(1.5 * limit_ * window_seconds + 5);
    }

    std::vector<std::unique_ptr<dispatcher_simulation>> instances_;

private:
    static constexpr auto answer_time = absl::Milliseconds(200);

    struct open_call
    {
        std::size_t instance = 0;
        send_call call;
        absl::Time due_at;
    };

    [[nodiscard]] bool is_limited(const core::backend_server_id& id) const
    {
        return std::stoul(id.value().substr(1)) < limited_count_;
    }

    void receive_at(std::size_t at)
    {
        dispatcher_simulation& instance = *instances_[at];
        const std::size_t before = instance.count<send_call>();
        instance.receive_request("stream", {{++last_part_, 500}});
        if (instance.count<send_call>() == before)
            return;
        const send_call call = *instance.last<send_call>();
        if (is_limited(call.server))
            arrivals_[call.server].push_back(instance.now);
        calls_.push_back({at, call, instance.now + answer_time});
    }

    void answer_due_calls()
    {
        for (const open_call& each : calls_) {
            dispatcher_simulation& instance = *instances_[each.instance];
            if (instance.now < each.due_at)
                continue;
            server_notice notice;
            if (is_limited(each.call.server))
                notice.rate_limit = limit_;
            instance.step(
                call_answer_started{each.call.id, each.call.call, 200, notice});
            instance.step(call_completed{each.call.id, each.call.call, 8, {}});
        }
        std::erase_if(calls_, [this](const open_call& each) {
            return instances_[each.instance]->now >= each.due_at;
        });
    }

    std::size_t limited_count_;
    double limit_;
    std::map<core::backend_server_id, std::vector<absl::Time>> arrivals_;
    std::vector<open_call> calls_;
    std::size_t next_instance_ = 0;
    std::uint64_t last_part_ = 0;
    absl::Time start_ = absl::UnixEpoch() + absl::Hours(1);
};

} // namespace

// Incident "limits that servers name": engines that had named a limit got as
// many requests as before.
Test(server_limit, is_kept_by_all_instances_together)
{
    limited_fleet fleet(7, 9, 6, 1.2);
    fleet.run(absl::Seconds(30), absl::Milliseconds(32));
    cr_assert_leq(fleet.most_in_window(absl::Seconds(4)), fleet.most_allowed());
}
