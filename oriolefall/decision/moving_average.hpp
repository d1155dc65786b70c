#ifndef ORIOLEFALL_DECISION_MOVING_AVERAGE_HPP
#define ORIOLEFALL_DECISION_MOVING_AVERAGE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

namespace oriolefall::decision {

/// Exponentially weighted moving average that starts as an arithmetic mean.
class moving_average
{
public:
    /// `weight`: weight of each new sample, above 0 and up to 1.
    explicit moving_average(double weight) : weight_(weight) {}

    void add(double sample)
    {
        ++samples_;
        const double mean_weight = 1.0 / static_cast<double>(samples_);
        value_ += (sample - value_) * std::max(weight_, mean_weight);
    }

    /// The average, or `fallback` before the first sample.
    [[nodiscard]] double value_or(double fallback) const
    {
        return samples_ == 0 ? fallback : value_;
    }

    [[nodiscard]] std::uint64_t samples() const
    {
        return samples_;
    }

    void reset()
    {
        samples_ = 0;
        value_ = 0.0;
    }

private:
    double weight_;
    double value_ = 0.0;
    std::uint64_t samples_ = 0;
};

} // namespace oriolefall::decision

#endif
