#include "oriolefall/objects/rate_limiter.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::objects {

rate_limiter::rate_limiter(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst)
{
    assert(per_second > 0.0 && burst >= 1.0);
}

absl::Duration rate_limiter::reserve(absl::Time now)
{
    if (refilled_at_ == absl::InfinitePast())
        refilled_at_ = now;
    const double elapsed = absl::ToDoubleSeconds(now - refilled_at_);
    tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
    refilled_at_ = now;
    tokens_ -= 1.0;
    if (tokens_ >= 0.0)
        return absl::ZeroDuration();
    return absl::Seconds(-tokens_ / per_second_);
}

} // namespace oriolefall::objects
