#ifndef ORIOLEFALL_DECISION_RETRY_BUDGET_HPP
#define ORIOLEFALL_DECISION_RETRY_BUDGET_HPP

#include <algorithm>

namespace oriolefall::decision {

/// Limits retries to a share of the successes, so that a retry storm cannot
/// sustain itself.
class retry_budget
{
public:
    /// `ratio`: retries earned by a success; `capacity`: maximum number of
    /// saved retries.
    retry_budget(double ratio, double capacity)
        : ratio_(ratio), capacity_(capacity), balance_(capacity)
    {
    }

    void on_success()
    {
        balance_ = std::min(capacity_, balance_ + ratio_);
    }

    [[nodiscard]] bool has_one() const
    {
        return balance_ >= 1.0;
    }

    /// Requires `has_one()`.
    void spend()
    {
        balance_ -= 1.0;
    }

private:
    double ratio_;
    double capacity_;
    double balance_;
};

} // namespace oriolefall::decision

#endif
