#ifndef ORIOLEFALL_DECISION_LENGTH_DISTRIBUTION_HPP
#define ORIOLEFALL_DECISION_LENGTH_DISTRIBUTION_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace oriolefall::decision {

/// Learned distribution of output lengths in tokens: a histogram with four
/// buckets for each doubling, in which the weight of older samples decays.
class length_distribution
{
public:
    length_distribution();

    void add(std::uint64_t tokens);
    /// Mean length, in tokens.
    [[nodiscard]] double mean() const;
    /// Upper end of the bucket that contains quantile `fraction` (0 to 1).
    [[nodiscard]] double quantile(double fraction) const;

private:
    static constexpr std::size_t bucket_count = 72;

    void rescale();

    std::array<double, bucket_count> weights_{};
    double total_ = 0.0;
    double weighted_tokens_ = 0.0;
    /// Weight of the next sample. It grows, so that older samples count less.
    double next_weight_ = 1.0;
};

} // namespace oriolefall::decision

#endif
