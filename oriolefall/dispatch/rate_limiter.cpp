#include "oriolefall/dispatch/rate_limiter.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

constexpr double max_tokens = 1;

} // namespace

bool rate_limiter::update(absl::Time heard_at, std::optional<double> limit)
{
    const bool has_changed = limit != limit_;
    if (limit || has_changed)
        heard_at_ = std::max(heard_at_, heard_at);
    limit_ = limit;
    if (!limit)
        tokens_.reset();
    return has_changed;
}

std::optional<double> rate_limiter::limit() const
{
    return limit_;
}

absl::Time rate_limiter::heard_at() const
{
    return heard_at_;
}

void rate_limiter::set_share(absl::Time now, double per_second,
                             double first_tokens)
{
    tokens_ = tokens_ ? tokens_at(now) : first_tokens;
    tokens_counted_at_ = now;
    per_second_ = per_second;
}

double rate_limiter::tokens_at(absl::Time now) const
{
    if (!tokens_)
        return 0;
    const double seconds = absl::ToDoubleSeconds(now - tokens_counted_at_);
    return std::min(*tokens_ + seconds * per_second_, max_tokens);
}

bool rate_limiter::may_send(absl::Time now) const
{
    return !limit_ || (per_second_ > 0 && tokens_at(now) >= max_tokens);
}

void rate_limiter::record_call(absl::Time now)
{
    if (!limit_ || !tokens_)
        return;
    tokens_ = std::max(tokens_at(now) - 1, 0.0);
    tokens_counted_at_ = now;
}

absl::Time rate_limiter::next_call_at(absl::Time now) const
{
    if (may_send(now))
        return now;
    if (per_second_ <= 0)
        return absl::InfiniteFuture();
    return now + absl::Seconds((max_tokens - tokens_at(now)) / per_second_);
}

} // namespace oriolefall::dispatch
