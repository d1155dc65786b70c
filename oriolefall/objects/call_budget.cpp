#include "oriolefall/objects/call_budget.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::objects {

call_budget::call_budget(double per_second, double burst)
    : per_second_(per_second), burst_(burst), tokens_(burst)
{
    assert(per_second > 0.0 && burst >= 1.0);
}

absl::Duration call_budget::take(absl::Time now)
{
    if (filled_at_ == absl::InfinitePast())
        filled_at_ = now;
    const double elapsed = absl::ToDoubleSeconds(now - filled_at_);
    tokens_ = std::min(burst_, tokens_ + elapsed * per_second_);
    filled_at_ = now;
    tokens_ -= 1.0;
    if (tokens_ >= 0.0)
        return absl::ZeroDuration();
    return absl::Seconds(-tokens_ / per_second_);
}

} // namespace oriolefall::objects
