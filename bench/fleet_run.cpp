#include "bench/fleet_run.hpp"

#include "bench/fleet_instance.hpp"
#include "bench/fleet_place.hpp"
#include "bench/fleet_usage.hpp"
#include "oriolefall/core/clock.hpp"
#include "stand_ins/platform_server.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::bench {

namespace {

constexpr std::size_t history = 4096;
constexpr absl::Duration settle_limit = absl::Minutes(3);
/// After the last change, for it to reach all.
constexpr absl::Duration drain_time = absl::Seconds(10);
constexpr absl::Duration settle_check = absl::Milliseconds(100);

/// Blocks for `time`; nothing is ever pushed into the ring it waits on.
void wait(absl::Duration time)
{
    core::bounded_ring<int> nothing(1);
    (void)nothing.pop_until(core::to_steady(core::monotonic_now() + time));
}

peer::control_settings settings_of(const fleet_plan& plan, std::size_t number,
                                   std::uint16_t seed_port)
{
    peer::control_settings settings;
    settings.link.self = instance_name(number);
    settings.link.incarnation = 1;
    settings.link.key = "bench";
    settings.link.jitter_seed = number;
    settings.caller_endpoint = {"127.0.0.1", 80};
    settings.location = place_of(number, plan.regions, plan.domains_per_region);
    if (seed_port != 0)
        settings.seeds = {{"127.0.0.1", seed_port}};
    return settings;
}

/// Counters of a fleet at one moment.
struct fleet_sample
{
    absl::Time at;
    double sent_bytes = 0.0;
    double messages = 0.0;
    absl::Duration cpu = absl::ZeroDuration();
    double platform_calls = 0.0;
};

class fleet
{
public:
    explicit fleet(const fleet_plan& plan) : plan_(plan), platform_(history, {})
    {
        shared_.platform = {"127.0.0.1", platform_.port()};
    }

    bool start()
    {
        for (std::size_t number = 0; number < plan_.instances; ++number) {
            const std::uint16_t seed =
                instances_.empty() ? 0 : instances_.front()->port();
            instances_.push_back(std::make_unique<fleet_instance>(
                number, settings_of(plan_, number, seed), shared_));
            if (!instances_.back()->start())
                return false;
        }
        return true;
    }

    bool settle()
    {
        const absl::Time limit = core::monotonic_now() + settle_limit;
        const auto knows_all = [this](const auto& instance) {
            return instance->live_members() == plan_.instances;
        };
        while (!std::ranges::all_of(instances_, knows_all)) {
            if (core::monotonic_now() > limit)
                return false;
            wait(settle_check);
        }
        return true;
    }

    [[nodiscard]] fleet_sample sample() const
    {
        fleet_sample now;
        now.at = core::monotonic_now();
        for (const auto& instance : instances_) {
            const peer::link_counts counts = instance->counts();
            now.sent_bytes += static_cast<double>(counts.bytes_sent);
            now.messages += static_cast<double>(counts.messages_sent);
        }
        now.cpu = cpu_time_of({"peer", "control"});
        now.platform_calls = static_cast<double>(shared_.platform_calls);
        return now;
    }

    /// Writes changes at the planned rate; gives when each was accepted.
    std::map<std::uint64_t, absl::Time> change()
    {
        objects::client_settings settings;
        settings.endpoint = shared_.platform;
        objects::client writer(settings);
        const absl::Duration gap = absl::Seconds(1) / plan_.changes_per_second;
        const absl::Time end = core::monotonic_now() + plan_.phase;
        std::map<std::uint64_t, absl::Time> accepted;
        for (absl::Time due = core::monotonic_now(); due < end; due += gap) {
            wait(due - core::monotonic_now());
            const std::string value =
                "{\"text\":\"" + std::string(plan_.value_bytes, 'x') + "\"}";
            const auto result =
                writer.put("/teams/team" + std::to_string(accepted.size() % 8) +
                               "/classes",
                           value, objects::always{});
            if (const auto* done = std::get_if<objects::written>(&result))
                accepted.emplace(done->version, core::monotonic_now());
        }
        wait(end - core::monotonic_now());
        return accepted;
    }

    spread_time
    measure_spread(const std::map<std::uint64_t, absl::Time>& accepted)
    {
        std::vector<absl::Duration> times;
        const absl::Time end = core::monotonic_now() + drain_time;
        const std::size_t expected = accepted.size() * plan_.instances;
        while (times.size() < expected) {
            const auto got = shared_.changes.pop_until(core::to_steady(end));
            const auto* change = std::get_if<change_in_force>(&got);
            if (change == nullptr)
                break;
            const auto at = accepted.find(change->version);
            if (at != accepted.end())
                times.push_back(
                    std::max(change->at - at->second, absl::ZeroDuration()));
        }
        return summary(accepted.size(), expected, std::move(times));
    }

    [[nodiscard]] std::size_t readers() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            instances_, [](const auto& each) { return each->is_reader(); }));
    }

private:
    static spread_time summary(std::size_t changes, std::size_t expected,
                               std::vector<absl::Duration> times)
    {
        spread_time spread{changes, times.size(), expected - times.size()};
        if (times.empty())
            return spread;
        std::ranges::sort(times);
        spread.p50 = times[times.size() / 2];
        spread.p99 = times[times.size() * 99 / 100];
        spread.longest = times.back();
        return spread;
    }

    fleet_plan plan_;
    stand_ins::platform_server platform_;
    fleet_shared shared_;
    std::vector<std::unique_ptr<fleet_instance>> instances_;
};

fleet_cost cost_between(const fleet_sample& from, const fleet_sample& to,
                        std::size_t instances)
{
    const double seconds = absl::ToDoubleSeconds(to.at - from.at);
    const double each = seconds * static_cast<double>(instances);
    return {(to.sent_bytes - from.sent_bytes) / each,
            (to.messages - from.messages) / each,
            absl::ToDoubleSeconds(to.cpu - from.cpu) / each,
            (to.platform_calls - from.platform_calls) / seconds};
}

} // namespace

std::optional<fleet_result> run_fleet(const fleet_plan& plan)
{
    fleet measured(plan);
    const auto memory_before = static_cast<double>(resident_bytes());
    const absl::Time start = core::monotonic_now();
    if (!measured.start() || !measured.settle())
        return std::nullopt;
    fleet_result result;
    result.plan = plan;
    result.settled = core::monotonic_now() - start;
    wait(drain_time);

    const fleet_sample before = measured.sample();
    wait(plan.phase);
    const fleet_sample between = measured.sample();
    const auto accepted = measured.change();
    const fleet_sample after = measured.sample();

    result.spread = measured.measure_spread(accepted);
    result.readers = measured.readers();
    result.memory_bytes =
        (static_cast<double>(resident_bytes()) - memory_before) /
        static_cast<double>(plan.instances);
    result.idle = cost_between(before, between, plan.instances);
    result.changing = cost_between(between, after, plan.instances);
    result.links_per_instance =
        result.idle.messages_per_s *
        absl::ToDoubleSeconds(
            membership::membership_settings{}.heartbeat_interval);
    return result;
}

} // namespace oriolefall::bench
