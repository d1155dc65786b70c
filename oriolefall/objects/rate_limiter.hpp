#ifndef ORIOLEFALL_OBJECTS_RATE_LIMITER_HPP
#define ORIOLEFALL_OBJECTS_RATE_LIMITER_HPP

#include <absl/time/time.h>

namespace oriolefall::objects {

/// Token bucket that limits the rate of calls. Has no clock of its own; not
/// thread-safe.
class rate_limiter
{
public:
    /// `per_second`: average rate of calls. `burst`: number of calls, at least
    /// one, that may go at once when the bucket is full.
    rate_limiter(double per_second, double burst);

    /// Takes a token for one call and returns how long the call must wait,
    /// zero when it may go at once. The token is taken in either case.
    [[nodiscard]] absl::Duration reserve(absl::Time now);

private:
    double per_second_;
    double burst_;
    double tokens_;
    absl::Time refilled_at_ = absl::InfinitePast();
};

} // namespace oriolefall::objects

#endif
