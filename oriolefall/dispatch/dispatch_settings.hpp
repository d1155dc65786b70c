#ifndef ORIOLEFALL_DISPATCH_DISPATCH_SETTINGS_HPP
#define ORIOLEFALL_DISPATCH_DISPATCH_SETTINGS_HPP

#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/repeat_budget.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::dispatch {

/// How one instance decides where requests go and how they end.
struct dispatch_settings
{
    /// Region of this instance.
    core::region_name here;
    repeat_budget_settings repeats;
    ejection_settings ejection;
    placement_settings placement;
    /// Between two reports of load to the other instances.
    absl::Duration report_interval = absl::Milliseconds(150);
    /// Instances that share budgets at least, before others are heard of.
    std::uint32_t least_instances = 1;
    /// When a caller is to come back after a refusal that did not run. A
    /// process without settings waits for the store, which is away for seconds;
    /// servers that lapsed meanwhile are back within two.
    absl::Duration come_back_without_settings = absl::Seconds(1);
    absl::Duration come_back_without_server = absl::Milliseconds(500);
    absl::Duration come_back_overloaded = absl::Milliseconds(400);
    absl::Duration come_back_otherwise = absl::Milliseconds(150);
    /// Time over the limit of a route that an answer already under way gets.
    absl::Duration limit_grace = absl::Milliseconds(60);
    /// Least time left that makes a further call worth while.
    absl::Duration least_time_for_repeat = absl::Milliseconds(50);
    /// Silence after which idempotent work is tried elsewhere: this many times
    /// the time that was expected, and this part of the goal, at least.
    double silent_times_expected = 4;
    double silent_part_of_goal = 0.7;
    /// The same between two events of a stream.
    double silent_times_gap_goal = 3;
    absl::Duration least_silent_gap = absl::Milliseconds(1200);
    /// Requests open at the same time at most.
    std::size_t most_open = 4000;
    std::partial_ordering operator<=>(const dispatch_settings&) const = default;
};

/// What varies in the decisions.
struct dispatch_hooks
{
    placement_hook cost;
    /// Evenly spread random numbers.
    std::function<std::uint64_t()> random;
};

} // namespace oriolefall::dispatch

#endif
