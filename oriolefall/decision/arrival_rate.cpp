#include "oriolefall/decision/arrival_rate.hpp"

#include <cmath>

namespace oriolefall::decision {

arrival_rate::arrival_rate(absl::Duration window)
    : window_s_(absl::ToDoubleSeconds(window))
{
}

void arrival_rate::add(absl::Time now, double amount)
{
    sum_ = value(now) * window_s_ + amount;
    last_ = now;
}

double arrival_rate::value(absl::Time now) const
{
    if (sum_ == 0.0)
        return 0.0;
    const double passed = absl::ToDoubleSeconds(now - last_);
    return sum_ * std::exp(-passed / window_s_) / window_s_;
}

} // namespace oriolefall::decision
