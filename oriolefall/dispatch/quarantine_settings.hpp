#ifndef ORIOLEFALL_DISPATCH_QUARANTINE_SETTINGS_HPP
#define ORIOLEFALL_DISPATCH_QUARANTINE_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace oriolefall::dispatch {

/// Settings of the quarantine of prompt parts that crash servers.
struct quarantine_settings
{
    /// Crashes without an answer in between that quarantine a part that was
    /// never seen in an answered request.
    std::uint32_t crashes_of_unanswered_part = 3;
    /// The same for a part that was seen in answered requests before.
    std::uint32_t crashes_of_answered_part = 6;
    /// Crashes without an answer after which requests with a part are no longer
    /// retried.
    std::uint32_t crashes_before_no_retry = 2;
    /// Crashes closer together than this count as one: a common cause may have
    /// ended several servers at once.
    absl::Duration crash_spacing = absl::Milliseconds(200);
    /// An answer of the same incarnation in this interval after a crash shows
    /// that there was none: before it, bytes sent earlier may still arrive,
    /// after it the server may have been restarted.
    absl::Duration refutation_start = absl::Milliseconds(60);
    absl::Duration refutation_end = absl::Seconds(1);
    /// Time from the last crash to the end of the first quarantine. It doubles
    /// with each further one up to the maximum.
    absl::Duration quarantine_time = absl::Minutes(5);
    absl::Duration max_quarantine_time = absl::Hours(1);
    /// Share of the quarantine time by which instances differ at most, so that
    /// a single one tries the part first.
    double max_time_spread = 0.5;
    /// Time for which crashes are remembered.
    absl::Duration crash_lifetime = absl::Hours(4);
    /// Maximum numbers of crashes, of parts of one crash, and of parts known
    /// from answered requests that are remembered.
    std::size_t max_crashes = 256;
    std::size_t max_parts_per_crash = 64;
    std::size_t max_answered_parts = 4096;
    std::partial_ordering
    operator<=>(const quarantine_settings&) const = default;
};

} // namespace oriolefall::dispatch

#endif
