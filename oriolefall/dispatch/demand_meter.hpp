#ifndef ORIOLEFALL_DISPATCH_DEMAND_METER_HPP
#define ORIOLEFALL_DISPATCH_DEMAND_METER_HPP

#include "oriolefall/routing/route_settings.hpp"
#include "oriolefall/usage/usage_update.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace oriolefall::dispatch {

/// Measures the demand for each service between two calls of `take`. Times must
/// not go back. Not thread-safe.
class demand_meter
{
public:
    /// `is_urgent`: the route has the most urgent priority of the service's
    /// routes.
    void record_call_sent(absl::Time now, const routing::service_name& service,
                          bool is_urgent);
    /// To be called once for each call that was sent, with the same
    /// `is_urgent`.
    void record_call_ended(absl::Time now, const routing::service_name& service,
                           bool is_urgent);
    void record_answer_begun(const routing::service_name& service);
    /// An answer missed a target of its route, at its start or later.
    void record_late_answer(const routing::service_name& service);
    /// A request was refused for lack of room.
    void record_refused(const routing::service_name& service);
    /// The demand for the services given since the last call. The failure
    /// domain is left empty.
    [[nodiscard]] std::vector<usage::service_demand>
    take(absl::Time now, const std::vector<routing::service_name>& services);

private:
    /// Number of open calls and its integral over time.
    struct open_calls
    {
        std::uint32_t count = 0;
        absl::Duration call_time = absl::ZeroDuration();
    };

    struct service_meter
    {
        open_calls all;
        open_calls urgent;
        absl::Time counted_until = absl::InfinitePast();
        std::uint32_t answers = 0;
        std::uint32_t late_answers = 0;
        std::uint32_t refused = 0;
    };

    /// The meter with the integrals up to `now`.
    service_meter& meter_at(absl::Time now,
                            const routing::service_name& service);

    std::map<routing::service_name, service_meter> meters_;
    absl::Time taken_at_ = absl::InfinitePast();
};

} // namespace oriolefall::dispatch

#endif
