#include "oriolefall/dispatch/retry_budget.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

void drop_until(std::deque<absl::Time>& times, absl::Time limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

retry_budget::retry_budget(const retry_budget_settings& settings)
    : settings_(settings)
{
}

void retry_budget::set_settings(const retry_budget_settings& settings)
{
    settings_ = settings;
}

void retry_budget::record_request(absl::Time now)
{
    drop_expired(now);
    requests_.push_back(now);
}

bool retry_budget::take(absl::Time now, std::uint32_t instances)
{
    drop_expired(now);
    const double share = settings_.extra / std::max(instances, 1U);
    const double allowed =
        settings_.usable_share *
        (settings_.ratio * static_cast<double>(requests_.size()) + share);
    if (static_cast<double>(retries_.size() + 1) > allowed)
        return false;
    retries_.push_back(now);
    return true;
}

void retry_budget::drop_expired(absl::Time now)
{
    drop_until(requests_, now - settings_.window);
    drop_until(retries_, now - settings_.window);
}

} // namespace oriolefall::dispatch
