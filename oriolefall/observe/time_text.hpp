#ifndef ORIOLEFALL_OBSERVE_TIME_TEXT_HPP
#define ORIOLEFALL_OBSERVE_TIME_TEXT_HPP

#include <absl/time/time.h>

#include <string>

namespace oriolefall::observe {

/// A moment as log lines tell it: UTC by RFC 3339, to the millisecond. Any
/// thread.
[[nodiscard]] inline std::string time_text(absl::Time at)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", at, absl::UTCTimeZone());
}

} // namespace oriolefall::observe

#endif
