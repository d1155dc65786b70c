#include "oriolefall/singleton/token_bucket.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::singleton {

token_bucket::token_bucket(double rate, double burst)
    : interval_(absl::Seconds(1 / rate)),
      capacity_(interval_ * std::max(burst, 1.0))
{
    assert(rate > 0);
}

absl::Time token_bucket::next_at() const
{
    return full_at_ + interval_ - capacity_;
}

void token_bucket::take(absl::Time now)
{
    full_at_ = std::max(full_at_, now) + interval_;
}

} // namespace oriolefall::singleton
