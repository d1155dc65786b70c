#ifndef ORIOLEFALL_SIZING_DEMAND_FORECAST_HPP
#define ORIOLEFALL_SIZING_DEMAND_FORECAST_HPP

#include <absl/time/time.h>

#include <compare>
#include <deque>

namespace oriolefall::sizing {

/// Demand at one time, in mean open calls.
struct demand_sample
{
    absl::Time at;
    double calls = 0;
    std::partial_ordering operator<=>(const demand_sample&) const = default;
};

/// Short-term forecast of a demand from its recent slope. Pure; for use by one
/// thread.
class demand_forecast
{
public:
    /// `now` must not decrease.
    void add(absl::Time now, double calls);

    /// The last sample; 0 if there is none.
    [[nodiscard]] double current() const;
    /// Expected demand after `ahead`, at least the current one and at most
    /// `max_ratio` times it.
    [[nodiscard]] double after(absl::Duration ahead, double max_ratio) const;

private:
    std::deque<demand_sample> samples_;
};

} // namespace oriolefall::sizing

#endif
