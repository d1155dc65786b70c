#include "oriolefall/scheduling/concurrency_limit.hpp"

#include <algorithm>

namespace oriolefall::scheduling {

namespace {
/// The limit grows only while at least this share of it is in use.
constexpr double min_utilization = 0.75;
} // namespace

concurrency_limit::concurrency_limit(const limit_settings& settings,
                                     std::uint32_t slots)
    : settings_(settings), limit_(slots), slots_(slots)
{
}

void concurrency_limit::on_latency(absl::Time now, double ratio,
                                   absl::Duration excess, double in_flight)
{
    if (ratio > settings_.congestion_ratio && excess > settings_.min_excess)
        decrease(now, limit_);
    else
        on_success(now, in_flight);
}

void concurrency_limit::on_congestion(absl::Time now, double in_flight)
{
    decrease(now, std::min(limit_, in_flight));
}

void concurrency_limit::on_success(absl::Time now, double in_flight,
                                   double weight)
{
    const absl::Duration since_last = std::clamp(
        now - increased_at_, absl::ZeroDuration(), settings_.max_increase_time);
    increased_at_ = now;
    if (in_flight < min_utilization * limit_)
        return;
    const double increase =
        settings_.increase_per_second > 0
            ? settings_.increase_per_second * absl::ToDoubleSeconds(since_last)
            : 1.0 / limit_;
    limit_ = std::min(std::max(slots_, settings_.min_limit),
                      limit_ + weight * increase);
}

void concurrency_limit::forget(double share)
{
    limit_ += (std::max(slots_, settings_.min_limit) - limit_) *
              std::clamp(share, 0.0, 1.0);
}

void concurrency_limit::set_slots(std::uint32_t slots)
{
    if (static_cast<double>(slots) != slots_)
        limit_ = slots;
    slots_ = slots;
}

std::uint32_t concurrency_limit::value() const
{
    return static_cast<std::uint32_t>(std::max(limit_, 1.0));
}

double concurrency_limit::exact_value() const
{
    return std::max(limit_, settings_.min_limit);
}

void concurrency_limit::decrease(absl::Time now, double from)
{
    if (now - decreased_at_ < settings_.decrease_interval)
        return;
    decreased_at_ = now;
    increased_at_ = now;
    limit_ = std::max(settings_.min_limit, from * settings_.decrease_factor);
}

} // namespace oriolefall::scheduling
