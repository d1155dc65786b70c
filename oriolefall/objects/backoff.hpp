#ifndef ORIOLEFALL_OBJECTS_BACKOFF_HPP
#define ORIOLEFALL_OBJECTS_BACKOFF_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace oriolefall::objects {

/// Gives a number from 0 up to, not including, 1.
using random_hook = std::function<double()>;

/// Draws from the calling thread's own generator, seeded by the system. Any
/// thread.
[[nodiscard]] double draw_uniform();

/// How long to wait between tries.
struct backoff_settings
{
    /// Longest wait before the first repeat.
    absl::Duration first = absl::Milliseconds(20);
    /// Longest wait before any repeat.
    absl::Duration longest = absl::Seconds(2);
    std::strong_ordering operator<=>(const backoff_settings&) const = default;
};

/// Wait before repeat number `repeat`, from 0: drawn evenly between nothing
/// and a limit that doubles each time, so that clients that failed together
/// do not come back together ("full jitter", M. Brooker, Exponential Backoff
/// And Jitter, AWS Architecture Blog, 2015). Any thread.
[[nodiscard]] absl::Duration backoff_delay(const backoff_settings& settings,
                                           std::uint32_t repeat,
                                           const random_hook& random);

} // namespace oriolefall::objects

#endif
