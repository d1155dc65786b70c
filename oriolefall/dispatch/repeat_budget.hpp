#ifndef ORIOLEFALL_DISPATCH_REPEAT_BUDGET_HPP
#define ORIOLEFALL_DISPATCH_REPEAT_BUDGET_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <deque>

namespace oriolefall::dispatch {

/// How many calls beyond the first of each request a service may get from
/// all instances together.
struct repeat_budget_settings
{
    /// Repeats allowed for each request of the window.
    double ratio = 0.1;
    /// Length of the sliding window.
    absl::Duration window = absl::Seconds(10);
    /// Repeats allowed beyond the ratio, for all instances together.
    double extra = 10;
    /// Part of the budget that is used; the rest covers calls that reach
    /// their server later than they were counted here.
    double used_share = 0.8;
    std::partial_ordering
    operator<=>(const repeat_budget_settings&) const = default;
};

/// One instance's share of the budget of one service, in a sliding window.
/// Shares are fixed by the number of instances, so that they hold while
/// instances can't hear each other. One thread.
class repeat_budget
{
public:
    explicit repeat_budget(const repeat_budget_settings& settings);

    /// What was taken so far still counts.
    void set_settings(const repeat_budget_settings& settings);
    void note_request(absl::Time now);
    /// Takes one repeat of the budget; false when nothing is left.
    [[nodiscard]] bool take(absl::Time now, std::uint32_t instances);

private:
    void forget(absl::Time now);

    repeat_budget_settings settings_;
    std::deque<absl::Time> requests_;
    std::deque<absl::Time> repeats_;
};

} // namespace oriolefall::dispatch

#endif
