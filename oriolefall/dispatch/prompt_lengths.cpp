#include "oriolefall/dispatch/prompt_lengths.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

void prompt_lengths::record(std::uint32_t tokens)
{
    recent_.push_back(tokens);
    mean_ += (tokens - mean_) / static_cast<double>(recent_.size());
    if (recent_.size() == max_recent)
        recent_.pop_front();
}

double prompt_lengths::mean() const
{
    return mean_;
}

double prompt_lengths::rank_of(std::uint32_t tokens) const
{
    if (recent_.empty())
        return 1;
    const auto not_longer = std::ranges::count_if(
        recent_, [tokens](std::uint32_t each) { return each <= tokens; });
    return static_cast<double>(not_longer) /
           static_cast<double>(recent_.size());
}

} // namespace oriolefall::dispatch
