#include "oriolefall/core/clock.hpp"

#include <ctime>

namespace oriolefall::core {

namespace {
constexpr absl::Duration max_wait = absl::Hours(24);
} // namespace

absl::Time monotonic_now()
{
    const auto since_start =
        std::chrono::steady_clock::now().time_since_epoch();
    return absl::UnixEpoch() + absl::FromChrono(since_start);
}

absl::Time boot_now()
{
    timespec since_boot{};
    // Does not fail for this clock, which Linux has had since 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return absl::UnixEpoch() + absl::DurationFromTimespec(since_boot);
}

std::chrono::steady_clock::time_point to_steady(absl::Time time)
{
    const absl::Time latest = monotonic_now() + max_wait;
    const absl::Duration since_start =
        std::min(time, latest) - absl::UnixEpoch();
    return std::chrono::steady_clock::time_point(
        absl::ToChronoNanoseconds(since_start));
}

} // namespace oriolefall::core
