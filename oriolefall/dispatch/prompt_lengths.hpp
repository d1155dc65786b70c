#ifndef ORIOLEFALL_DISPATCH_PROMPT_LENGTHS_HPP
#define ORIOLEFALL_DISPATCH_PROMPT_LENGTHS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>

namespace oriolefall::dispatch {

/// Lengths of the most recent prompts for a service, in tokens. Not
/// thread-safe.
class prompt_lengths
{
public:
    void record(std::uint32_t tokens);
    /// Moving average; 0 before the first prompt.
    [[nodiscard]] double mean() const;
    /// Fraction of the recent prompts that are not longer, from 0 to 1.
    [[nodiscard]] double rank_of(std::uint32_t tokens) const;

private:
    static constexpr std::size_t max_recent = 50;

    /// Oldest first.
    std::deque<std::uint32_t> recent_;
    double mean_ = 0;
};

} // namespace oriolefall::dispatch

#endif
