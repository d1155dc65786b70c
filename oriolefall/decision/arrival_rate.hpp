#ifndef ORIOLEFALL_DECISION_ARRIVAL_RATE_HPP
#define ORIOLEFALL_DECISION_ARRIVAL_RATE_HPP

#include <absl/time/time.h>

namespace oriolefall::decision {

/// Arrival rate: amount per second, averaged with exponentially decaying
/// weights.
class arrival_rate
{
public:
    explicit arrival_rate(absl::Duration window);

    void add(absl::Time now, double amount);
    /// Amount per second at `now`.
    [[nodiscard]] double value(absl::Time now) const;

private:
    double window_s_;
    double sum_ = 0.0;
    absl::Time last_ = absl::InfinitePast();
};

} // namespace oriolefall::decision

#endif
