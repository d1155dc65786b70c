#ifndef ORIOLEFALL_USAGE_USAGE_EXCHANGE_HPP
#define ORIOLEFALL_USAGE_USAGE_EXCHANGE_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/usage/true_clock.hpp"
#include "oriolefall/usage/usage_collector.hpp"
#include "oriolefall/usage/usage_counter.hpp"
#include "oriolefall/usage/usage_objects.hpp"
#include "oriolefall/usage/usage_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace oriolefall::usage {

/// Who counts, and when it started.
struct usage_source
{
    core::instance_id instance;
    core::region_name region;
    core::failure_domain_name failure_domain;
    /// Rises with each start of the process, and only then.
    std::uint64_t incarnation = 0;
    /// Time of day and monotonic time, read together at start.
    absl::Time time_of_day;
    absl::Time started_at;
    std::strong_ordering operator<=>(const usage_source&) const = default;
};

/// What an instance is to send now.
struct due_updates
{
    /// To the watchers of the region.
    std::optional<usage_update> to_watchers;
    /// Without counts, to all linked instances: tells them the time.
    std::optional<usage_update> to_all;
    auto operator<=>(const due_updates&) const = default;
};

/// Joins the counts of this instance, the updates of peers and the object that
/// a watcher publishes. Without I/O, clock or thread. Thread-safe. Every `now`
/// is monotonic and counts suspended time.
class usage_exchange
{
public:
    usage_exchange(const usage_settings& settings, usage_source source);

    /// A server has begun to run a request.
    void record_run_began(absl::Time now, const core::workspace_id& workspace);
    /// The demand of this instance over the last second. The failure domain is
    /// filled in.
    void set_demand(std::vector<service_demand> demand);
    /// Whether this instance adds up the updates of its region.
    void set_watcher(bool is_watcher);
    void receive(absl::Time now, const core::instance_id& from,
                 const usage_update& update);
    /// To be called each second or more often.
    [[nodiscard]] due_updates tick(absl::Time now);
    /// The object of this watcher to write now, replacing any revision. Once
    /// per window, and again 500 ms after a write that failed.
    [[nodiscard]] std::optional<duties::write_object>
    due_object(absl::Time now);
    /// The outcome of the write that `due_object` returned last.
    void on_written(absl::Time now, bool is_written);
    [[nodiscard]] absl::Time true_time(absl::Time now) const;
    /// Demand of the region as this watcher knows it; empty for others.
    [[nodiscard]] std::vector<service_demand> region_demand(absl::Time now);
    /// Requests that were not counted, and updates that were ignored.
    [[nodiscard]] std::uint64_t lost() const;

private:
    [[nodiscard]] std::uint64_t window_at(absl::Time now) const;
    /// With all counts.
    [[nodiscard]] usage_update make_update(absl::Time now) const;
    /// Leaves only the counts that the watchers may not know yet.
    void remove_sent(absl::Time now, std::vector<window_counts>& windows);
    /// Whether all counts of a window are to be sent now: once shortly after
    /// its end, and once later.
    [[nodiscard]] bool is_window_due(absl::Time now, std::uint64_t window);
    [[nodiscard]] std::optional<region_usage> due_usage(absl::Time now);
    /// The window up to which the object is to be written now.
    [[nodiscard]] std::optional<std::uint64_t> begin_write(absl::Time now);
    /// Adds the counts of this instance to those of its region.
    void record_own(absl::Time now);
    /// Returns the window of `now`.
    std::uint64_t record_clock(absl::Time now, const core::instance_id& from,
                               const usage_update& update);
    /// The counts in the object of the window that has ended last.
    [[nodiscard]] std::vector<window_counts>
    published(std::uint64_t window) const;

    const usage_settings settings_;
    const usage_source source_;
    /// Adding up a region takes milliseconds. The decide thread, which counts
    /// each request, takes only the other mutex.
    mutable std::mutex collector_mutex_;
    usage_collector collector_;
    mutable std::mutex mutex_;
    true_clock clock_;
    usage_counter counter_;
    std::vector<service_demand> demand_;
    bool is_watcher_ = false;
    /// Windows by which the counts were moved so far.
    std::int64_t shift_ = 0;
    std::uint64_t corrections_ = 0;
    absl::Time next_update_at_ = absl::InfinitePast();
    absl::Time next_clock_at_ = absl::InfinitePast();
    std::map<std::uint64_t, std::vector<duties::workspace_count>> sent_windows_;
    /// The last window of which all counts were sent, and how often.
    std::uint64_t repeated_window_ = 0;
    unsigned repetitions_ = 0;
    std::vector<service_demand> sent_demand_;
    absl::Time sent_at_ = absl::InfinitePast();
    /// The last window in the object that was written, or is being written.
    std::optional<std::uint64_t> written_window_;
    std::optional<std::uint64_t> writing_window_;
    absl::Time write_not_before_ = absl::InfinitePast();
};

} // namespace oriolefall::usage

#endif
