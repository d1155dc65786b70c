#ifndef ORIOLEFALL_BENCH_LINEAR_FIT_HPP
#define ORIOLEFALL_BENCH_LINEAR_FIT_HPP

#include <compare>
#include <span>

namespace oriolefall::bench {

struct measured_point
{
    double x = 0.0;
    double y = 0.0;
    std::partial_ordering operator<=>(const measured_point&) const = default;
};

/// y = intercept + slope * x.
struct linear_fit
{
    double intercept = 0.0;
    double slope = 0.0;
    std::partial_ordering operator<=>(const linear_fit&) const = default;

    [[nodiscard]] double at(double x) const
    {
        return intercept + slope * x;
    }
};

/// Least squares; with fewer than two unlike x the slope is 0.
[[nodiscard]] linear_fit fit_line(std::span<const measured_point> points);

} // namespace oriolefall::bench

#endif
