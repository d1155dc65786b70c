#include "oriolefall/dispatch/repeat_budget.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

namespace {

void drop_before(std::deque<absl::Time>& times, absl::Time limit)
{
    while (!times.empty() && times.front() <= limit)
        times.pop_front();
}

} // namespace

repeat_budget::repeat_budget(const repeat_budget_settings& settings)
    : settings_(settings)
{
}

void repeat_budget::set_settings(const repeat_budget_settings& settings)
{
    settings_ = settings;
}

void repeat_budget::note_request(absl::Time now)
{
    forget(now);
    requests_.push_back(now);
}

bool repeat_budget::take(absl::Time now, std::uint32_t instances)
{
    forget(now);
    const double share = settings_.extra / std::max(instances, 1U);
    const double allowed =
        settings_.used_share *
        (settings_.ratio * static_cast<double>(requests_.size()) + share);
    if (static_cast<double>(repeats_.size() + 1) > allowed)
        return false;
    repeats_.push_back(now);
    return true;
}

void repeat_budget::forget(absl::Time now)
{
    drop_before(requests_, now - settings_.window);
    drop_before(repeats_, now - settings_.window);
}

} // namespace oriolefall::dispatch
