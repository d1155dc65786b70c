#ifndef ORIOLEFALL_DISPATCH_RETRY_BUDGET_HPP
#define ORIOLEFALL_DISPATCH_RETRY_BUDGET_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <deque>

namespace oriolefall::dispatch {

/// Limits of the retries that one service receives from all instances together.
struct retry_budget_settings
{
    /// Retries allowed per request in the window.
    double ratio = 0.1;
    /// Length of the sliding window.
    absl::Duration window = absl::Seconds(10);
    /// Retries allowed beyond the ratio, for all instances together.
    double extra = 10;
    /// Fraction of the budget that is used. The rest is a margin for calls that
    /// reach their server later than they were counted here.
    double usable_share = 0.8;
    std::partial_ordering
    operator<=>(const retry_budget_settings&) const = default;
};

/// One instance's share of the retry budget of one service, in a sliding
/// window. The share depends only on the number of instances, so the budget
/// holds while the instances cannot communicate. Not thread-safe.
class retry_budget
{
public:
    explicit retry_budget(const retry_budget_settings& settings);

    /// Retries that were already taken still count.
    void set_settings(const retry_budget_settings& settings);
    void record_request(absl::Time now);
    /// Takes one retry from the budget; returns false when it is exhausted.
    [[nodiscard]] bool take(absl::Time now, std::uint32_t instances);

private:
    /// Drops requests and retries that have left the window.
    void drop_expired(absl::Time now);

    retry_budget_settings settings_;
    /// Times of the requests and of the retries in the window, oldest first.
    std::deque<absl::Time> requests_;
    std::deque<absl::Time> retries_;
};

} // namespace oriolefall::dispatch

#endif
