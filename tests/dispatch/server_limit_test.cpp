#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

server_notice limited_to(double limit)
{
    server_notice notice;
    notice.rate_limit = limit;
    return notice;
}

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
        std::vector<core::instance_id> members;
        for (std::size_t i = 0; i < instances; ++i)
            members.emplace_back("instance-" + std::to_string(i));
        for (const core::instance_id& id : members) {
            dispatch_settings settings;
            settings.own_instance = id;
            instances_.push_back(
                std::make_unique<dispatcher_simulation>(settings));
            dispatcher_simulation& each = *instances_.back();
            each.step(
                fleet_changed{static_cast<std::uint32_t>(instances), members});
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
            deliver_reports();
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
                const auto count = std::ranges::count_if(
                    times, [first, window](absl::Time each) {
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

    /// Each instance is linked to its two neighbours.
    void deliver_reports()
    {
        const std::size_t size = instances_.size();
        for (std::size_t from = 0; from < size; ++from) {
            std::vector<notice_report> reports;
            auto& actions = instances_[from]->actions;
            for (const action& each : actions)
                if (const auto* sent = std::get_if<send_notice_report>(&each))
                    reports.push_back(sent->report);
            std::erase_if(actions, [](const action& each) {
                return std::holds_alternative<send_notice_report>(each);
            });
            for (const notice_report& report : reports)
                for (const std::size_t to :
                     {(from + 1) % size, (from + size - 1) % size})
                    instances_[to]->step(notice_report_received{report});
        }
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

// Each instance alone would keep a limit that all of them exceed.
Test(server_limit, is_kept_by_a_hundred_instances)
{
    for (const double limit : {0.3, 1.2, 7.0}) {
        limited_fleet fleet(100, 9, 6, limit);
        fleet.run(absl::Seconds(25), absl::Milliseconds(10));
        cr_assert_leq(fleet.most_in_window(absl::Seconds(4)),
                      fleet.most_allowed());
        cr_assert_gt(fleet.arrivals_of_limited(), 0);
    }
}

Test(server_limit, is_kept_when_all_servers_name_one)
{
    limited_fleet fleet(7, 3, 3, 1.2);
    fleet.run(absl::Seconds(30), absl::Milliseconds(32));
    cr_assert_leq(fleet.most_in_window(absl::Seconds(4)), fleet.most_allowed());
    cr_assert_gt(fleet.refused(), 0);
    for (const auto& each : fleet.instances_) {
        const auto* refused = each->last<refuse>();
        if (refused == nullptr)
            continue;
        cr_assert(refused->not_run);
        cr_assert_gt(absl::ToInt64Milliseconds(refused->retry_after), 0);
    }
}

// What the servers take is used, not only kept.
Test(server_limit, is_nearly_used_where_demand_exceeds_it)
{
    limited_fleet fleet(7, 3, 3, 1.2);
    constexpr std::size_t seconds = 60;
    fleet.run(absl::Seconds(seconds), absl::Milliseconds(32));
    constexpr auto expected = static_cast<std::size_t>(0.6 * 3 * 1.2 * seconds);
    cr_assert_geq(fleet.arrivals_of_limited(), expected);
}

// Instances that no longer send to a limited server can't hear from it that
// the limit is lifted.
Test(server_limit, that_is_lifted_is_forgotten_by_all_instances)
{
    limited_fleet fleet(30, 9, 6, 1.2);
    fleet.run(absl::Seconds(10), absl::Milliseconds(20));
    fleet.lift_limits();
    fleet.run(absl::Seconds(15), absl::Milliseconds(20));
    for (const auto& each : fleet.instances_) {
        std::map<core::backend_server_id, bool> is_limited;
        for (const action& some : each->actions)
            if (const auto* change = std::get_if<rate_limit_change>(&some))
                is_limited[change->server] = change->rate_limit.has_value();
        cr_assert(std::ranges::none_of(
            is_limited, [](const auto& server) { return server.second; }));
    }
}

Test(server_limit, an_answer_to_an_older_call_does_not_lift_it)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    simulation.set_servers({make_server_entry("e0", "engine")});
    simulation.receive_request("stream");
    const send_call older = *simulation.last<send_call>();
    simulation.receive_request("stream");
    const send_call limited = *simulation.last<send_call>();
    simulation.advance(absl::Milliseconds(100));
    simulation.step(
        call_answer_started{limited.id, limited.call, 200, limited_to(0.0)});
    simulation.step(call_answer_started{older.id, older.call, 200, {}});
    simulation.receive_request("stream");
    cr_assert_eq(simulation.count<send_call>(), 2);
    cr_assert_eq(simulation.last<refuse>()->cause, refusal::no_server);
}

Test(server_limit, of_a_server_does_not_outlive_its_restart)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    auto engine = make_server_entry("e0", "engine");
    simulation.set_servers({engine});
    simulation.receive_request("stream");
    const send_call call = *simulation.last<send_call>();
    simulation.step(
        call_answer_started{call.id, call.call, 200, limited_to(0.0)});
    ++engine.started_at_ms;
    simulation.set_servers({engine});
    simulation.receive_request("stream");
    cr_assert_eq(simulation.count<send_call>(), 2);
}

// A server counts requests, so the few that it takes had better be those that
// spare the other servers most work.
Test(server_limit, is_used_for_long_prompts)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    simulation.set_servers(
        {make_server_entry("e0", "engine"), make_server_entry("e1", "engine")});
    std::uint64_t own_part = 1000;
    const auto send = [&](std::uint64_t shared, std::uint32_t tokens) {
        simulation.receive_request("stream",
                                   {{shared, tokens}, {++own_part, 100}});
        return *simulation.last<send_call>();
    };
    const auto complete = [&](const send_call& call, server_notice notice) {
        simulation.step(call_answer_started{call.id, call.call, 200, notice});
        simulation.step(call_completed{call.id, call.call, 8, {}});
    };
    constexpr std::uint32_t short_tokens = 300;
    constexpr std::uint32_t long_tokens = 9000;
    for (std::uint64_t i = 0; i < 10; ++i)
        complete(send(i, i % 2 == 0 ? short_tokens : long_tokens), {});
    send_call call = send(50, short_tokens);
    const auto limited = call.server;
    complete(call, limited_to(1.0));
    for (std::uint64_t i = 0; i < 30; ++i) {
        simulation.advance(absl::Seconds(5));
        call = send(100 + i, short_tokens);
        cr_assert_neq(call.server.value(), limited.value());
        complete(call, {});
        call = send(200 + i, long_tokens);
        cr_assert_eq(call.server.value(), limited.value());
        complete(call, limited_to(1.0));
    }
}

// The few calls that engines with limits take went to whatever prompt came
// first, while the other engines were overloaded by long ones.
Test(server_limit, leaves_scarce_calls_to_the_longest_prompts)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    std::vector<server_entry> engines;
    for (int i = 0; i < 9; ++i)
        engines.push_back(make_server_entry("e" + std::to_string(i), "engine"));
    simulation.set_servers(engines);
    std::uint64_t next_part = 1;
    const auto send = [&](std::uint32_t tokens) {
        simulation.receive_request("stream",
                                   {{++next_part, 100}, {++next_part, tokens}});
        return *simulation.last<send_call>();
    };
    constexpr std::uint32_t medium_tokens = 6000;
    constexpr std::uint32_t long_tokens = 9000;
    std::set<core::backend_server_id> limited;
    for (int i = 0; limited.size() < 8; ++i) {
        const send_call call = send(i % 2 == 0 ? long_tokens : 300);
        limited.insert(call.server);
        simulation.step(
            call_answer_started{call.id, call.call, 200, limited_to(0.5)});
        simulation.step(call_completed{call.id, call.call, 8, {}});
    }
    simulation.advance(absl::Seconds(20));
    for (int i = 0; i < 7; ++i)
        cr_assert(limited.contains(send(long_tokens).server));
    // One engine with a limit takes a call; the one without is busy.
    for (int i = 0; i < 5; ++i)
        cr_assert_not(limited.contains(send(medium_tokens).server));
    cr_assert(limited.contains(send(long_tokens).server));
}

Test(server_limit, survives_that_the_store_drops_the_server_until_it_is_lifted)
{
    dispatcher_simulation simulation;
    simulation.set_routes(make_route_settings(1));
    const auto engine = make_server_entry("e0", "engine");
    const auto drop_and_list = [&] {
        simulation.set_servers({});
        simulation.set_servers({engine});
    };
    simulation.set_servers({engine});
    simulation.receive_request("stream");
    const send_call first = *simulation.last<send_call>();
    simulation.receive_request("stream");
    simulation.step(
        call_answer_started{first.id, first.call, 200, limited_to(1000)});
    drop_and_list();
    simulation.advance(absl::Seconds(1));
    simulation.receive_request("stream");
    const send_call later = *simulation.last<send_call>();
    simulation.advance(absl::Seconds(1));
    simulation.step(call_answer_started{later.id, later.call, 200, {}});
    cr_assert_not(simulation.last<rate_limit_change>()->rate_limit.has_value());
    drop_and_list();
    for (int i = 0; i < 5; ++i)
        simulation.receive_request("stream");
    cr_assert_eq(simulation.count<refuse>(), 0);
}
