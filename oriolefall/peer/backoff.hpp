#ifndef ORIOLEFALL_PEER_BACKOFF_HPP
#define ORIOLEFALL_PEER_BACKOFF_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <random>

namespace oriolefall::peer {

/// Exponential backoff: the delay before the next attempt doubles after each
/// failure up to a maximum, with full jitter (Brooker, "Exponential Backoff and
/// Jitter", AWS Architecture Blog, 2015). One thread at a time.
class backoff
{
public:
    backoff(absl::Duration initial, absl::Duration max)
        : initial_(initial), max_(max), next_delay_(initial)
    {
    }

    /// Returns the delay to wait after a failure and doubles the next one.
    [[nodiscard]] absl::Duration next_delay(std::mt19937_64& random)
    {
        std::uniform_real_distribution<double> jitter(0.0, 1.0);
        const absl::Duration delay =
            initial_ / 2 + jitter(random) * next_delay_;
        next_delay_ = std::min(2 * next_delay_, max_);
        return delay;
    }

    /// Returns to the initial delay; to be called after a success.
    void reset()
    {
        next_delay_ = initial_;
    }

private:
    absl::Duration initial_;
    absl::Duration max_;
    absl::Duration next_delay_;
};

} // namespace oriolefall::peer

#endif
