#ifndef ORIOLEFALL_USAGE_USAGE_SETTINGS_HPP
#define ORIOLEFALL_USAGE_USAGE_SETTINGS_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace oriolefall::usage {

/// Set in instances that count requests and report them to the provider.
struct usage_settings
{
    /// Length of a window; at least 1 ms.
    absl::Duration window = absl::Seconds(5);
    /// Time after the end of a window at which its report is due.
    absl::Duration lateness = absl::Seconds(10);
    /// Time after the end of a window at which the watchers publish it, and at
    /// which it is added up for the report: updates are sent each second, and
    /// the watchers need a write each.
    absl::Duration publish_after = absl::Milliseconds(1500);
    absl::Duration report_after = absl::Milliseconds(4500);
    /// Time after the end of a window until which regions without counts are
    /// waited for.
    absl::Duration wait_until = absl::Milliseconds(7500);
    /// Time between two updates, between two that only tell the time, and
    /// between two attempts to read what a window lacks.
    absl::Duration update_interval = absl::Seconds(1);
    absl::Duration clock_interval = absl::Seconds(5);
    absl::Duration reread_interval = absl::Milliseconds(500);
    /// Time after the end of a window at which all its counts are sent again.
    absl::Duration repeat_after = absl::Seconds(3);
    absl::Duration min_backoff = absl::Milliseconds(500);
    absl::Duration max_backoff = absl::Seconds(4);
    /// A report is given up when the next window is more than this number of
    /// windows behind.
    std::uint64_t max_windows_behind = 10;
    std::strong_ordering operator<=>(const usage_settings&) const = default;
};

/// Scales the times after the end of a window to a shorter lateness.
[[nodiscard]] inline usage_settings make_usage_settings(absl::Duration window,
                                                        absl::Duration lateness)
{
    usage_settings settings;
    const double scale =
        std::min(absl::FDivDuration(lateness, settings.lateness), 1.0);
    settings.window = window;
    settings.lateness = lateness;
    settings.publish_after *= scale;
    settings.report_after *= scale;
    settings.wait_until *= scale;
    return settings;
}

/// Windows that an instance keeps and sends.
inline constexpr std::size_t max_update_windows = 4;
/// Windows in the object of a watcher.
inline constexpr std::size_t published_windows = 3;
inline constexpr std::size_t max_workspaces = 1024;
/// Services with demand in one update.
inline constexpr std::size_t max_demands = 256;
/// Counts and thousandths of calls beyond this are not plausible; sums over
/// instances and regions stay in range.
inline constexpr std::uint64_t max_count = std::uint64_t{1} << 40;
/// In the year 2286.
inline constexpr std::int64_t max_sent_at_ms = 10'000'000'000'000;
/// The low bits of the incarnation in an update are the number of corrections
/// that moved the counts of the sender to other windows.
inline constexpr unsigned correction_bits = 8;
inline constexpr std::uint64_t max_corrections =
    (std::uint64_t{1} << correction_bits) - 1;
/// Instances that a watcher adds up. The region of an instance has fewer.
inline constexpr std::size_t max_instances = 1024;

} // namespace oriolefall::usage

#endif
