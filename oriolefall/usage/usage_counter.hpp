#ifndef ORIOLEFALL_USAGE_USAGE_COUNTER_HPP
#define ORIOLEFALL_USAGE_USAGE_COUNTER_HPP

#include "oriolefall/usage/usage_update.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace oriolefall::usage {

/// Counts the requests of this instance by window and workspace. Keeps the last
/// 4 windows and at most 1,024 workspaces in each. Not thread-safe.
class usage_counter
{
public:
    /// Counts a request that a server began to run in `window`.
    void record(std::uint64_t window, const core::workspace_id& workspace);
    /// Moves all counts by a number of windows, after the clock was corrected.
    void shift(std::int64_t windows);
    /// Sorted by window.
    [[nodiscard]] std::vector<window_counts> windows() const;
    /// Requests that were not counted for lack of room or because their window
    /// is no longer kept.
    [[nodiscard]] std::uint64_t lost() const;

private:
    std::map<std::uint64_t, std::map<core::workspace_id, std::uint64_t>>
        windows_;
    std::uint64_t lost_ = 0;
};

} // namespace oriolefall::usage

#endif
