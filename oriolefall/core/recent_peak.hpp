#ifndef ORIOLEFALL_CORE_RECENT_PEAK_HPP
#define ORIOLEFALL_CORE_RECENT_PEAK_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace oriolefall::core {

/// Maximum of the recent values: of at least the last `window` and of at most
/// twice that time. Not thread-safe.
class recent_peak
{
public:
    explicit recent_peak(absl::Duration window) : window_(window) {}

    /// Adds the value at `now` and returns the maximum. `now` must not be
    /// before that of the previous call.
    std::uint32_t update(absl::Time now, std::uint32_t value)
    {
        if (now >= window_end_) {
            const bool is_previous_stale = now >= window_end_ + window_;
            previous_max_ =
                is_previous_stale ? value : std::exchange(current_max_, value);
            current_max_ = value;
            window_end_ = now + window_;
        }
        current_max_ = std::max(current_max_, value);
        return std::max(previous_max_, current_max_);
    }

private:
    absl::Duration window_;
    absl::Time window_end_ = absl::InfinitePast();
    std::uint32_t current_max_ = 0;
    std::uint32_t previous_max_ = 0;
};

} // namespace oriolefall::core

#endif
