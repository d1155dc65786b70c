#include "bench/linear_fit.hpp"

namespace oriolefall::bench {

linear_fit fit_line(std::span<const measured_point> points)
{
    if (points.empty())
        return {};
    double mean_x = 0.0;
    double mean_y = 0.0;
    const auto count = static_cast<double>(points.size());
    for (const measured_point& point : points) {
        mean_x += point.x / count;
        mean_y += point.y / count;
    }
    double covariance = 0.0;
    double variance = 0.0;
    for (const measured_point& point : points) {
        covariance += (point.x - mean_x) * (point.y - mean_y);
        variance += (point.x - mean_x) * (point.x - mean_x);
    }
    if (variance <= 0.0)
        return {mean_y, 0.0};
    const double slope = covariance / variance;
    return {mean_y - slope * mean_x, slope};
}

} // namespace oriolefall::bench
