#include "oriolefall/dispatch/hot_prompts.hpp"

#include <algorithm>
#include <cmath>

namespace oriolefall::dispatch {

namespace {

constexpr std::size_t max_keys = 256;
/// Time constant of the counts.
constexpr absl::Duration decay_time = absl::Seconds(3);
/// All counts are decayed together after this time, which costs less than
/// decaying each at every request.
constexpr absl::Duration decay_interval = absl::Milliseconds(100);
/// Requests below which shares are not known.
constexpr double min_requests = 8;
/// Counts below this are dropped.
constexpr double negligible_count = 0.05;

} // namespace

void hot_prompts::record(absl::Time now, std::uint64_t key)
{
    decay(now);
    total_ += 1;
    if (key == 0)
        return;
    if (!counts_.contains(key) && counts_.size() >= max_keys)
        make_room();
    counts_[key] += 1;
}

double hot_prompts::share_of(std::uint64_t key) const
{
    const auto found = counts_.find(key);
    if (found == counts_.end() || total_ < min_requests)
        return 0;
    return std::min(found->second / total_, 1.0);
}

std::size_t hot_prompts::size() const
{
    return counts_.size();
}

void hot_prompts::decay(absl::Time now)
{
    if (now - decayed_at_ < decay_interval)
        return;
    const double factor =
        std::exp(-absl::FDivDuration(now - decayed_at_, decay_time));
    decayed_at_ = now;
    total_ *= factor;
    for (auto& [key, count] : counts_)
        count *= factor;
    absl::erase_if(counts_, [](const auto& each) {
        return each.second < negligible_count;
    });
}

void hot_prompts::make_room()
{
    counts_.erase(std::ranges::min_element(
        counts_, {}, [](const auto& each) { return each.second; }));
}

std::size_t spread_of_part(double share, double calls, double mean_call_limit)
{
    const double engines = share * calls / std::max(mean_call_limit, 1.0);
    return static_cast<std::size_t>(std::max(std::ceil(engines), 1.0));
}

} // namespace oriolefall::dispatch
