#ifndef ORIOLEFALL_CORE_CLOCK_HPP
#define ORIOLEFALL_CORE_CLOCK_HPP

#include <absl/time/time.h>

#include <chrono>
#include <functional>

namespace oriolefall::core {

/// Supplies the time to code that must not read a clock itself.
using clock_hook = std::function<absl::Time()>;

/// Monotonic time since an arbitrary point. Only differences are meaningful,
/// and only within this process. Thread-safe.
[[nodiscard]] absl::Time monotonic_now();

/// The same, but also counts the time in which the machine was suspended
/// (CLOCK_BOOTTIME). Not comparable with `monotonic_now`. Thread-safe.
[[nodiscard]] absl::Time boot_now();

/// Converts `time` (from `monotonic_now`) to the time point for a wait on a
/// ring. Times more than 24 hours ahead, also an infinite one, are clamped.
[[nodiscard]] std::chrono::steady_clock::time_point to_steady(absl::Time time);

} // namespace oriolefall::core

#endif
