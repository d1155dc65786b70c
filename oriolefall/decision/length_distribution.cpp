#include "oriolefall/decision/length_distribution.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::decision {

namespace {

constexpr double buckets_per_doubling = 4.0;
constexpr double weight_growth = 1.005;
constexpr double max_weight = 1e9;
/// Length assumed before the first sample, in tokens.
constexpr std::uint64_t prior_tokens = 128;

std::size_t bucket_of(std::uint64_t tokens, std::size_t last)
{
    const double bucket =
        buckets_per_doubling * std::log2(static_cast<double>(tokens) + 1.0);
    return std::min(static_cast<std::size_t>(bucket), last);
}

} // namespace

length_distribution::length_distribution()
{
    add(prior_tokens);
}

void length_distribution::add(std::uint64_t tokens)
{
    weights_[bucket_of(tokens, bucket_count - 1)] += next_weight_;
    total_ += next_weight_;
    weighted_tokens_ += next_weight_ * static_cast<double>(tokens);
    next_weight_ *= weight_growth;
    if (next_weight_ > max_weight)
        rescale();
}

double length_distribution::mean() const
{
    return weighted_tokens_ / total_;
}

double length_distribution::quantile(double fraction) const
{
    double below = 0.0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        below += weights_[i];
        if (below >= fraction * total_) {
            const auto upper = static_cast<double>(i + 1);
            return std::exp2(upper / buckets_per_doubling) - 1.0;
        }
    }
    return mean();
}

void length_distribution::rescale()
{
    for (double& weight : weights_)
        weight /= next_weight_;
    total_ /= next_weight_;
    weighted_tokens_ /= next_weight_;
    next_weight_ = 1.0;
}

} // namespace oriolefall::decision
