#ifndef ORIOLEFALL_USAGE_USAGE_UPDATE_HPP
#define ORIOLEFALL_USAGE_USAGE_UPDATE_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/duties/usage_report.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::usage {

/// Requests that servers began to run in one window, as one instance counted
/// them so far. May list only the workspaces whose counts have changed.
struct window_counts
{
    std::uint64_t window = 0;
    /// Sorted by workspace.
    std::vector<duties::workspace_count> counts;
    auto operator<=>(const window_counts&) const = default;
};

/// Demand that one instance sees for a service, over the last second.
struct service_demand
{
    routing::service_name service;
    /// Of the instance: its callers are near.
    core::failure_domain_name failure_domain;
    /// Mean number of open calls, in thousandths.
    std::uint64_t calls_milli = 0;
    /// The same for requests of the most urgent tier.
    std::uint64_t urgent_calls_milli = 0;
    /// Answers begun, and those of them that missed a target.
    std::uint32_t answers = 0;
    std::uint32_t late_answers = 0;
    /// Requests refused for lack of room.
    std::uint32_t refused = 0;
    auto operator<=>(const service_demand&) const = default;
};

/// What an instance tells the watchers of its region. Counts are cumulative
/// within a window, so that the largest count of a workspace is the latest.
/// Delivery is best-effort.
struct usage_update
{
    /// See `correction_bits`.
    std::uint64_t incarnation = 0;
    /// True time as the sender estimates it without the clocks of others, in ms
    /// since the Unix epoch.
    std::int64_t sent_at_ms = 0;
    std::vector<window_counts> windows;
    std::vector<service_demand> demand;
    auto operator<=>(const usage_update&) const = default;
};

} // namespace oriolefall::usage

#endif
