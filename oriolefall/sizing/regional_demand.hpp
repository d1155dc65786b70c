#ifndef ORIOLEFALL_SIZING_REGIONAL_DEMAND_HPP
#define ORIOLEFALL_SIZING_REGIONAL_DEMAND_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/sizing/demand_forecast.hpp"
#include "oriolefall/sizing/late_margin.hpp"
#include "oriolefall/sizing/size_target.hpp"
#include "oriolefall/sizing/sizing_settings.hpp"
#include "oriolefall/usage/usage_update.hpp"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <vector>

namespace oriolefall::sizing {

/// Demand by failure domain of the callers.
using domain_demand =
    std::map<core::failure_domain_name, usage::service_demand>;

/// Demand for one service by region, and the servers that it needs. Pure; for
/// use by one thread.
class regional_demand
{
public:
    using region_hook =
        std::function<core::region_name(const core::failure_domain_name&)>;

    explicit regional_demand(sizing_settings settings);

    /// `capacity`: calls that the servers that run take, by region.
    void update(absl::Time now, const domain_demand& demand,
                const region_hook& region_of,
                const std::map<core::region_name, double>& capacity,
                absl::Duration startup_time);

    [[nodiscard]] std::vector<region_need> needs(absl::Duration startup_time,
                                                 double calls_per_server) const;
    /// Share of a failure domain in the demand of its region.
    [[nodiscard]] double share(const core::failure_domain_name& domain,
                               const core::region_name& region) const;
    [[nodiscard]] std::vector<core::failure_domain_name> domains() const;

    /// Open calls of all regions now.
    [[nodiscard]] double calls() const;
    /// Open calls that are expected after the start-up time.
    [[nodiscard]] double forecast_calls(absl::Duration startup_time) const;
    /// Largest addition for late answers among the regions.
    [[nodiscard]] double largest_margin() const;

private:
    struct region_state
    {
        explicit region_state(const sizing_settings& settings) : late(settings)
        {
        }

        demand_forecast forecast;
        late_margin late;
        double urgent_calls = 0;
    };

    [[nodiscard]] double expected(const region_state& state,
                                  absl::Duration startup_time) const;

    sizing_settings settings_;
    std::map<core::region_name, region_state> regions_;
    /// Open calls of the last demand.
    std::map<core::failure_domain_name, double> calls_;
};

} // namespace oriolefall::sizing

#endif
