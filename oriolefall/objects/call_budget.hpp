#ifndef ORIOLEFALL_OBJECTS_CALL_BUDGET_HPP
#define ORIOLEFALL_OBJECTS_CALL_BUDGET_HPP

#include <absl/time/time.h>

namespace oriolefall::objects {

/// Holds calls to a rate: a token bucket. Pure; one thread.
class call_budget
{
public:
    /// `per_second`: calls a second in the long run. `burst`: calls that may
    /// come at once after a pause, one or more.
    call_budget(double per_second, double burst);

    /// Takes one call at `now`. Zero: it may go at once; else how long to
    /// wait first. Either way the call is counted.
    [[nodiscard]] absl::Duration take(absl::Time now);

private:
    double per_second_;
    double burst_;
    double tokens_;
    absl::Time filled_at_ = absl::InfinitePast();
};

} // namespace oriolefall::objects

#endif
