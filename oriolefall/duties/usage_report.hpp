#ifndef ORIOLEFALL_DUTIES_USAGE_REPORT_HPP
#define ORIOLEFALL_DUTIES_USAGE_REPORT_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::duties {

/// Requests of one workspace that servers began to run.
struct workspace_count
{
    core::workspace_id workspace;
    std::uint64_t requests = 0;
    auto operator<=>(const workspace_count&) const = default;
};

/// Usage of one window, for the provider. Sorted by workspace.
struct usage_report
{
    std::uint64_t window = 0;
    std::vector<workspace_count> counts;
    auto operator<=>(const usage_report&) const = default;
};

} // namespace oriolefall::duties

#endif
