#include "oriolefall/sizing/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::sizing {

namespace {

/// Demand is known once a second: the slope is that of three to four samples.
constexpr absl::Duration window = absl::Milliseconds(3200);
/// Samples that are closer replace each other.
constexpr absl::Duration min_distance = absl::Milliseconds(200);
/// Numbers of independent calls vary by about the root of their mean. A rise
/// below this multiple of it is taken for noise.
constexpr double noise_factor = 2.0;

/// Slope of the least-squares line, per second.
double slope(const std::deque<demand_sample>& samples)
{
    const auto count = static_cast<double>(samples.size());
    double mean_x = 0;
    double mean_y = 0;
    for (const demand_sample& sample : samples) {
        mean_x += absl::ToDoubleSeconds(sample.at - samples.front().at) / count;
        mean_y += sample.calls / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const demand_sample& sample : samples) {
        const double x =
            absl::ToDoubleSeconds(sample.at - samples.front().at) - mean_x;
        covariance += x * (sample.calls - mean_y);
        variance += x * x;
    }
    return variance > 0 ? covariance / variance : 0;
}

} // namespace

void demand_forecast::add(absl::Time now, double calls)
{
    if (!samples_.empty() && now - samples_.back().at < min_distance)
        samples_.back().calls = calls;
    else
        samples_.push_back({.at = now, .calls = calls});
    while (now - samples_.front().at > window)
        samples_.pop_front();
}

double demand_forecast::current() const
{
    return samples_.empty() ? 0 : samples_.back().calls;
}

double demand_forecast::after(absl::Duration ahead, double max_ratio) const
{
    if (samples_.size() < 2)
        return current();
    const double per_second = slope(samples_);
    const double rise = per_second * absl::ToDoubleSeconds(samples_.back().at -
                                                           samples_.front().at);
    if (rise <= noise_factor * std::sqrt(std::max(current(), 1.0)))
        return current();
    return std::min(current() + per_second * absl::ToDoubleSeconds(ahead),
                    current() * max_ratio);
}

} // namespace oriolefall::sizing
