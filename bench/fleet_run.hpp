#ifndef ORIOLEFALL_BENCH_FLEET_RUN_HPP
#define ORIOLEFALL_BENCH_FLEET_RUN_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <optional>

namespace oriolefall::bench {

/// One size of fleet and how long it is watched.
struct fleet_plan
{
    std::size_t instances = 6;
    std::size_t regions = 5;
    std::size_t domains_per_region = 3;
    /// Of each of the two phases: without and with changes.
    absl::Duration phase = absl::Seconds(20);
    /// Changes of settings in the second phase.
    double changes_per_second = 2.0;
    /// Length of each changed value.
    std::size_t value_bytes = 2048;
    std::partial_ordering operator<=>(const fleet_plan&) const = default;
};

/// What control costs: each but the platform's calls per instance.
struct fleet_cost
{
    double sent_bytes_per_s = 0.0;
    double messages_per_s = 0.0;
    /// Share of one core.
    double cores = 0.0;
    /// Of the whole fleet.
    double platform_calls_per_s = 0.0;
    std::partial_ordering operator<=>(const fleet_cost&) const = default;
};

/// Time from the platform's acceptance of a change to its being in force at
/// an instance.
struct spread_time
{
    std::size_t changes = 0;
    /// Changes times instances that came into force, and those that did not.
    std::size_t in_force = 0;
    std::size_t missing = 0;
    absl::Duration p50 = absl::ZeroDuration();
    absl::Duration p99 = absl::ZeroDuration();
    absl::Duration longest = absl::ZeroDuration();
    std::strong_ordering operator<=>(const spread_time&) const = default;
};

struct fleet_result
{
    fleet_plan plan;
    /// From the start of the first instance until all know all.
    absl::Duration settled = absl::ZeroDuration();
    std::size_t readers = 0;
    double links_per_instance = 0.0;
    double memory_bytes = 0.0;
    fleet_cost idle;
    fleet_cost changing;
    spread_time spread;
    std::partial_ordering operator<=>(const fleet_result&) const = default;
};

/// Runs a fleet of instances in this process on loopback against a platform
/// stand-in. Nothing when it did not settle.
[[nodiscard]] std::optional<fleet_result> run_fleet(const fleet_plan& plan);

} // namespace oriolefall::bench

#endif
