#ifndef ORIOLEFALL_USAGE_USAGE_REPORTER_HPP
#define ORIOLEFALL_USAGE_USAGE_REPORTER_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/usage/usage_objects.hpp"
#include "oriolefall/usage/usage_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace oriolefall::usage {

/// What the reporter has done since start, for metrics.
struct reporter_counters
{
    /// Windows whose report the provider has accepted.
    std::uint64_t reported = 0;
    /// Windows for which no report was accepted.
    std::uint64_t skipped = 0;
    std::uint64_t unreadable_objects = 0;
    auto operator<=>(const reporter_counters&) const = default;
};

/// Reports the usage of each window once, in order, while this instance holds
/// the lease. What is reported is written to the store first, so that every
/// holder reports the same counts. Pure. Not thread-safe: used on the thread of
/// the duties.
class usage_reporter
{
public:
    /// Converts the monotonic time that the planner is given to true time.
    using true_time_hook = std::function<absl::Time(absl::Time now)>;

    /// `started_at`: monotonic.
    usage_reporter(const usage_settings& settings, true_time_hook true_time,
                   absl::Time started_at);

    /// Refers to this object, which must outlive it.
    [[nodiscard]] duties::planner make_planner();
    /// The store has answered with this epoch. To be called from start on, also
    /// without the lease: a reporter that finds no record takes that for the
    /// start of the fleet only if the epoch has not risen since.
    void note_epoch(std::uint64_t epoch);
    [[nodiscard]] const reporter_counters& counters() const;

private:
    enum class step : std::uint8_t
    {
        without_lease,
        read_record,
        read_sums,
        write_record,
        send_report
    };

    void on_acquired(absl::Time now, std::uint64_t fencing_number);
    [[nodiscard]] std::optional<duties::task> next(absl::Time now);
    void on_result(absl::Time now, const duties::task_result& result);
    [[nodiscard]] absl::Time next_at() const;

    void on_record(absl::Time now, const duties::objects_read& read);
    /// Continues after a record that does not tell which reports were sent, and
    /// records from which window on.
    void continue_after_unknown_reports(absl::Time now, std::uint64_t first);
    void on_known_record(absl::Time now, const usage_record& record,
                         std::uint64_t store_epoch);
    void on_sums(absl::Time now, const duties::objects_read& read);
    [[nodiscard]] std::vector<region_usage>
    parse_sums(const duties::objects_read& read);
    void on_record_written(absl::Time now, const duties::task_result& result);
    void on_report_sent(absl::Time now, const duties::task_result& result);
    /// Whether `next_window_` is to be added up; otherwise sets `not_before_`.
    [[nodiscard]] bool is_window_due(absl::Time now);
    void skip_old_windows(std::uint64_t last_due);
    void finish_window(std::uint64_t window);
    void clear_pending();
    void continue_at(step next_step);
    void retry_later(absl::Time now, step next_step);
    void wait(absl::Time now, absl::Duration time);
    /// The last window that is to be reported by now.
    [[nodiscard]] std::uint64_t last_due_window(absl::Time now) const;
    /// The window in which this instance started.
    [[nodiscard]] std::uint64_t first_window() const;
    [[nodiscard]] std::uint64_t current_window(absl::Time now) const;

    usage_settings settings_;
    true_time_hook true_time_;
    absl::Time started_at_;
    reporter_counters counters_;
    std::optional<std::uint64_t> first_epoch_;
    std::uint64_t epoch_ = 0;
    std::uint64_t fencing_number_ = 0;
    step step_ = step::without_lease;
    absl::Time not_before_ = absl::InfiniteFuture();
    absl::Duration backoff_;
    std::uint64_t record_revision_ = 0;
    /// The first window that this instance may report.
    std::uint64_t next_window_ = 0;
    /// The record was read since the lease was acquired, so that all reports
    /// before `next_window_` are known to be settled.
    bool knows_reports_ = false;
    /// No window was ever reported.
    bool is_first_report_ = false;
    /// Recorded or about to be.
    std::optional<duties::usage_report> pending_;
    /// `pending_` is recorded but not sent.
    bool is_pending_settled_ = false;
    /// This holder has sent `pending_` at least once.
    bool has_sent_pending_ = false;
    /// The last report that may have reached the provider.
    std::optional<duties::usage_report> sent_;
};

} // namespace oriolefall::usage

#endif
