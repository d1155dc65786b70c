#ifndef ORIOLEFALL_PEER_BACKOFF_HPP
#define ORIOLEFALL_PEER_BACKOFF_HPP

#include <absl/time/time.h>

#include <algorithm>
#include <random>

namespace oriolefall::peer {

/// Time to wait before the next try: doubled after each failure up to a limit,
/// with full jitter (Brooker, "Exponential Backoff and Jitter", AWS
/// Architecture Blog, 2015). One thread at a time.
class backoff
{
public:
    backoff(absl::Duration first, absl::Duration longest)
        : first_(first), longest_(longest), next_(first)
    {
    }

    [[nodiscard]] absl::Duration after_failure(std::mt19937_64& random)
    {
        std::uniform_real_distribution<double> part(0.0, 1.0);
        const absl::Duration wait = first_ / 2 + part(random) * next_;
        next_ = std::min(2 * next_, longest_);
        return wait;
    }

    void reset()
    {
        next_ = first_;
    }

private:
    absl::Duration first_;
    absl::Duration longest_;
    absl::Duration next_;
};

} // namespace oriolefall::peer

#endif
