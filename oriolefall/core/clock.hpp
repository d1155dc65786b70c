#ifndef ORIOLEFALL_CORE_CLOCK_HPP
#define ORIOLEFALL_CORE_CLOCK_HPP

#include <absl/time/time.h>

#include <chrono>
#include <functional>

namespace oriolefall::core {

/// Gives the time to code that must not read a clock itself.
using clock_hook = std::function<absl::Time()>;

/// Time that never goes back, counted from an arbitrary start. Only
/// differences have a meaning; it must not leave the process. Any thread.
[[nodiscard]] absl::Time monotonic_now();

/// The same moment as `time` (from `monotonic_now`) for a wait on a ring.
/// An infinite time gives a moment far ahead.
[[nodiscard]] std::chrono::steady_clock::time_point to_steady(absl::Time time);

} // namespace oriolefall::core

#endif
