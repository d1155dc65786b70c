#include "dispatcher_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace oriolefall;
using namespace oriolefall::dispatch;
using tests::dispatcher_simulation;
using tests::make_route_settings;
using tests::make_server_entry;

namespace {

constexpr prompt_part common_part{1, 800};
constexpr prompt_part crashing_part{2, 400};
constexpr int engine_count = 12;
constexpr auto message_time = absl::Milliseconds(15);

/// Instances in a ring, each linked to its neighbours, before the same engines.
class fleet
{
public:
    explicit fleet(std::size_t size)
    {
        for (int i = 0; i < engine_count; ++i)
            engines_.push_back(
                make_server_entry("e" + std::to_string(i), "engine"));
        for (std::size_t i = 0; i < size; ++i) {
            instances_.push_back(std::make_unique<dispatcher_simulation>());
            instances_.back()->set_routes(make_route_settings(1));
            instances_.back()->set_servers(engines_);
        }
    }

    /// Passes time on all instances, and their messages to the neighbours.
    void advance(absl::Duration time)
    {
        for (; time > absl::ZeroDuration(); time -= message_time) {
            for (const auto& each : instances_)
                each->advance(message_time);
            deliver();
        }
    }

    /// Number of calls that a request with the crashing part caused.
    std::size_t crash_at(std::size_t index)
    {
        dispatcher_simulation& instance = *instances_[index];
        const std::size_t before = instance.count<send_call>();
        instance.receive_request(
            "stream", {common_part, crashing_part, {++last_own_part_, 100}});
        if (instance.count<send_call>() == before)
            return 0;
        const send_call call = *instance.last<send_call>();
        advance(absl::Milliseconds(90));
        if (instance.last<cancel_call>() != nullptr &&
            instance.last<cancel_call>()->call == call.call)
            return 1;
        instance.step(call_broken{call.id, call.call,
                                  broken_cause::connection_lost, false});
        ++std::ranges::find(engines_, call.server, &server_entry::id)
              ->started_at_ms;
        for (const auto& each : instances_)
            each->set_servers(engines_);
        return 1;
    }

    std::size_t answer_at(std::size_t index)
    {
        dispatcher_simulation& instance = *instances_[index];
        const std::size_t before = instance.count<send_call>();
        instance.receive_request("stream",
                                 {common_part, {++last_own_part_, 100}});
        if (instance.count<send_call>() == before)
            return 0;
        const send_call call = *instance.last<send_call>();
        instance.step(call_answer_started{call.id, call.call, 200, {}});
        instance.step(call_completed{call.id, call.call, 8, {}});
        return 1;
    }

    [[nodiscard]] std::size_t size() const
    {
        return instances_.size();
    }

    /// Number of crash reports sent.
    std::size_t messages = 0;

private:
    void deliver()
    {
        std::vector<std::pair<std::size_t, crash_report>> sent;
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            auto& actions = instances_[i]->actions;
            for (const action& each : actions)
                if (const auto* report = std::get_if<send_crash_report>(&each))
                    sent.emplace_back(i, report->report);
            std::erase_if(actions, [](const action& each) {
                return std::holds_alternative<send_crash_report>(each);
            });
        }
        messages += sent.size();
        for (const auto& [from, report] : sent)
            for (const std::size_t to :
                 {(from + 1) % size(), (from + size() - 1) % size()})
                instances_[to]->step(crash_report_received{report});
    }

    std::vector<server_entry> engines_;
    std::vector<std::unique_ptr<dispatcher_simulation>> instances_;
    std::uint64_t last_own_part_ = 1000;
};

} // namespace

// Incident "prompts that crash servers": each instance saw too few crashes to
// learn anything, and all of them together went on.
Test(crash_report, a_fleet_learns_from_crashes_that_each_instance_saw_once)
{
    fleet fleet(20);
    std::size_t crashes = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert_eq(fleet.answer_at((i + 7) % fleet.size()), 1);
        crashes += fleet.crash_at(i);
        fleet.advance(absl::Milliseconds(400));
    }
    cr_assert_leq(crashes, 5);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert_eq(fleet.crash_at(i), 0);
        cr_assert_eq(fleet.answer_at(i), 1);
    }
}

Test(crash_report, instances_fall_silent_when_there_is_no_news)
{
    fleet fleet(6);
    fleet.crash_at(0);
    fleet.advance(absl::Seconds(5));
    const std::size_t messages = fleet.messages;
    fleet.advance(absl::Seconds(60));
    cr_assert_eq(fleet.messages, messages);
}

// Reports may be lost, repeated and overtake each other.
Test(crash_report, instances_that_heard_all_reports_in_any_order_agree)
{
    const bool holds = rc::check([] {
        const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
        const auto make_history = [] {
            return prompt_quarantine({}, [] { return 0; });
        };
        std::vector<crash_report> reports;
        const auto count = *rc::gen::inRange(1, 12);
        for (int i = 0; i < count; ++i) {
            const auto part = *rc::gen::inRange<std::uint64_t>(1, 4);
            const auto age = absl::Milliseconds(500 * *rc::gen::inRange(1, 40));
            crash_report report;
            if (*rc::gen::inRange(0, 3) == 0)
                report.answered.push_back({part, age});
            else
                report.crashes.push_back(
                    {{core::backend_server_id(
                          std::to_string(*rc::gen::inRange(0, 6))),
                      1},
                     age,
                     {part, *rc::gen::inRange<std::uint64_t>(4, 7)},
                     *rc::gen::inRange(0, 6) == 0});
            reports.push_back(report);
        }
        auto first = make_history();
        auto second = make_history();
        auto order = reports;
        std::ranges::shuffle(
            order, std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        for (const crash_report& each : reports)
            first.merge(now, each);
        for (const crash_report& each : order) {
            second.merge(now, each);
            second.merge(now, each);
        }
        RC_ASSERT(first.all() == second.all());
    });
    cr_assert(holds);
}
