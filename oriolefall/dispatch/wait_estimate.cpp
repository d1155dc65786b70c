#include "oriolefall/dispatch/wait_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::dispatch {

namespace {

/// Time constant with which the history decays. Bursts last for some seconds,
/// and the estimate must follow their begin and end.
constexpr double decay_seconds = 4;

} // namespace

void wait_estimate::advance(absl::Time now, std::uint32_t waiting)
{
    if (now == advanced_at_)
        return;
    const double seconds = advanced_at_ == absl::InfinitePast()
                               ? 0
                               : absl::ToDoubleSeconds(now - advanced_at_);
    advanced_at_ = now;
    const double decay = std::exp(-seconds / decay_seconds);
    for (std::uint32_t tier = 0; tier < tier_count; ++tier) {
        const std::uint32_t own = 1U << tier;
        advance(by_tier_[tier], now, seconds, decay, (waiting & own) != 0);
        advance(up_to_tier_[tier], now, seconds, decay,
                (waiting & (own | (own - 1))) != 0);
    }
}

void wait_estimate::advance(history& each, absl::Time now, double seconds,
                            double decay, bool is_waiting)
{
    each.sent_work *= decay;
    each.busy_seconds *= decay;
    if (!is_waiting) {
        each.idle_since = absl::InfiniteFuture();
        return;
    }
    // The integral of the decaying weight over the time that has passed.
    each.busy_seconds += decay_seconds * (1 - decay);
    each.idle_since = std::min(each.idle_since, now - absl::Seconds(seconds));
}

void wait_estimate::record_sent(absl::Time now, std::uint32_t tier, double cost)
{
    const auto add = [&](history& each) {
        each.sent_work += cost;
        each.idle_since = now;
    };
    add(by_tier_.at(tier));
    std::for_each(up_to_tier_.begin() + tier, up_to_tier_.end(), add);
}

absl::Duration wait_estimate::wait_for(absl::Time now, std::uint32_t tier,
                                       double work, double tier_work,
                                       double cost) const
{
    return std::max(wait_for(by_tier_.at(tier), now, tier_work, cost),
                    wait_for(up_to_tier_.at(tier), now, work, cost));
}

absl::Duration wait_estimate::wait_for(const history& each, absl::Time now,
                                       double work, double cost)
{
    const absl::Duration by_rate =
        absl::Seconds(work * each.busy_seconds / (each.sent_work + cost));
    return std::max(by_rate,
                    std::max(now - each.idle_since, absl::ZeroDuration()));
}

} // namespace oriolefall::dispatch
