#ifndef ORIOLEFALL_USAGE_WINDOW_INDEX_HPP
#define ORIOLEFALL_USAGE_WINDOW_INDEX_HPP

#include <absl/time/time.h>

#include <cstdint>

namespace oriolefall::usage {

/// The window that holds `true_time`; windows start at multiples of `length`
/// after the Unix epoch. Times before it are in window 0. `length`: positive.
[[nodiscard]] std::uint64_t window_index(absl::Time true_time,
                                         absl::Duration length);

[[nodiscard]] absl::Time window_start(std::uint64_t window,
                                      absl::Duration length);

/// The end is not part of the window.
[[nodiscard]] absl::Time window_end(std::uint64_t window,
                                    absl::Duration length);

} // namespace oriolefall::usage

#endif
