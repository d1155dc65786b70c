#include "oriolefall/usage/usage_counter.hpp"

#include "oriolefall/usage/usage_settings.hpp"

#include <utility>

namespace oriolefall::usage {

void usage_counter::record(std::uint64_t window,
                           const core::workspace_id& workspace)
{
    if (windows_.size() >= max_update_windows &&
        window < windows_.begin()->first) {
        ++lost_;
        return;
    }
    auto& counts = windows_[window];
    while (windows_.size() > max_update_windows)
        windows_.erase(windows_.begin());
    const auto found = counts.find(workspace);
    if (found != counts.end())
        ++found->second;
    else if (counts.size() < max_workspaces)
        counts.emplace(workspace, 1);
    else
        ++lost_;
}

void usage_counter::shift(std::int64_t windows)
{
    decltype(windows_) moved;
    for (auto& [window, counts] : windows_) {
        const bool is_before_epoch =
            windows < 0 && window < static_cast<std::uint64_t>(-windows);
        const std::uint64_t index =
            is_before_epoch ? 0 : window + static_cast<std::uint64_t>(windows);
        for (const auto& [workspace, requests] : counts)
            moved[index][workspace] += requests;
    }
    windows_ = std::move(moved);
}

std::vector<window_counts> usage_counter::windows() const
{
    std::vector<window_counts> all;
    for (const auto& [window, counts] : windows_) {
        window_counts& each = all.emplace_back(window_counts{window, {}});
        for (const auto& [workspace, requests] : counts)
            each.counts.push_back({workspace, requests});
    }
    return all;
}

std::uint64_t usage_counter::lost() const
{
    return lost_;
}

} // namespace oriolefall::usage
