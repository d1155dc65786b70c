#ifndef ORIOLEFALL_OBJECTS_BACKOFF_HPP
#define ORIOLEFALL_OBJECTS_BACKOFF_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>

namespace oriolefall::objects {

/// Returns a random number in [0, 1).
using random_hook = std::function<double()>;

/// Draws from a generator of the calling thread that is seeded by the system.
/// Thread-safe.
[[nodiscard]] double draw_uniform();

/// Limits of the delay between two attempts.
struct backoff_settings
{
    /// Maximum delay before the first retry.
    absl::Duration initial_max_delay = absl::Milliseconds(20);
    /// Maximum delay before any retry.
    absl::Duration max_delay = absl::Seconds(2);
    std::strong_ordering operator<=>(const backoff_settings&) const = default;
};

/// Delay before retry number `retry`, counted from 0: uniformly distributed
/// between zero and a limit that doubles with each retry, so that clients that
/// failed at the same time do not retry at the same time ("full jitter",
/// M. Brooker, Exponential Backoff And Jitter, AWS Architecture Blog, 2015).
/// Thread-safe.
[[nodiscard]] absl::Duration backoff_delay(const backoff_settings& settings,
                                           std::uint32_t retry,
                                           const random_hook& random);

} // namespace oriolefall::objects

#endif
