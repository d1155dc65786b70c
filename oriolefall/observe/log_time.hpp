#ifndef ORIOLEFALL_OBSERVE_LOG_TIME_HPP
#define ORIOLEFALL_OBSERVE_LOG_TIME_HPP

#include <absl/time/time.h>

#include <string>

namespace oriolefall::observe {

/// Formats a wall-clock time for log lines: UTC as in RFC 3339, with
/// milliseconds. Thread-safe.
[[nodiscard]] inline std::string format_log_time(absl::Time at)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", at, absl::UTCTimeZone());
}

} // namespace oriolefall::observe

#endif
