#ifndef ORIOLEFALL_CORE_RECENT_PEAK_HPP
#define ORIOLEFALL_CORE_RECENT_PEAK_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace oriolefall::core {

/// The largest value of late: of the span before, and of up to as much again.
/// One thread.
class recent_peak
{
public:
    explicit recent_peak(absl::Duration span) : span_(span) {}

    /// Takes the value at `now`, not before the last one's; gives the peak.
    std::uint32_t take(absl::Time now, std::uint32_t value)
    {
        if (now >= turn_at_) {
            const bool is_old = now >= turn_at_ + span_;
            before_ = is_old ? value : std::exchange(newest_, value);
            newest_ = value;
            turn_at_ = now + span_;
        }
        newest_ = std::max(newest_, value);
        return std::max(before_, newest_);
    }

private:
    absl::Duration span_;
    absl::Time turn_at_ = absl::InfinitePast();
    std::uint32_t newest_ = 0;
    std::uint32_t before_ = 0;
};

} // namespace oriolefall::core

#endif
