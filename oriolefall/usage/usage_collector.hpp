#ifndef ORIOLEFALL_USAGE_USAGE_COLLECTOR_HPP
#define ORIOLEFALL_USAGE_USAGE_COLLECTOR_HPP

#include "oriolefall/usage/usage_update.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace oriolefall::usage {

/// Adds up the updates of the instances of a region. Updates may be lost,
/// duplicated and arrive in any order. Not thread-safe.
class usage_collector
{
public:
    /// `received_at`: monotonic. `current_window`: the window of the true time.
    /// Windows that are far from it are ignored.
    void record(const core::instance_id& from, const usage_update& update,
                absl::Time received_at, std::uint64_t current_window);
    /// The sum over all instances and incarnations. Empty for a window of which
    /// nothing is known.
    [[nodiscard]] std::vector<duties::workspace_count>
    counts(std::uint64_t window) const;
    /// The sum over the instances that were heard of shortly before `now`, by
    /// service and failure domain.
    [[nodiscard]] std::vector<service_demand> demand(absl::Time now) const;
    /// Updates and counts that were ignored for lack of room.
    [[nodiscard]] std::uint64_t ignored() const;

private:
    using workspace_counts = std::map<core::workspace_id, std::uint64_t>;

    /// What one incarnation of an instance has sent.
    struct sender
    {
        /// Corrections of its clock.
        std::uint64_t corrections = 0;
        std::int64_t sent_at_ms = 0;
        absl::Time received_at;
        std::map<std::uint64_t, workspace_counts> windows;
        std::vector<service_demand> demand;
    };

    void merge(const std::vector<duties::workspace_count>& counts,
               workspace_counts& known);
    void remove_old(std::uint64_t current_window, absl::Time now);

    std::map<std::pair<core::instance_id, std::uint64_t>, sender> senders_;
    std::uint64_t ignored_ = 0;
};

} // namespace oriolefall::usage

#endif
