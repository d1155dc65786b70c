#ifndef ORIOLEFALL_SIZING_SIZING_SETTINGS_HPP
#define ORIOLEFALL_SIZING_SIZING_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace oriolefall::sizing {

/// Sizing of elastic services. Documented in docs/SETTINGS.md.
struct sizing_settings
{
    /// Servers ordered relative to what the demand takes.
    double headroom = 1.25;
    /// Share of a region's need that is placed in the region.
    double local_share = 0.8;
    /// Share of the known instances that the demand must cover.
    double min_coverage = 2.0 / 3.0;
    /// Demand that is older causes no lower orders.
    absl::Duration demand_lifetime = absl::Seconds(5);
    /// Maximum ratio of the forecast to the present demand.
    double max_forecast = 2.0;
    /// Late share of answers that is tolerated.
    double late_tolerance = 0.02;
    /// Answers of a second that a late share is computed from, at least.
    std::uint32_t min_answers = 10;
    /// Running on-demand servers are exchanged for spot servers where these
    /// suffice. Otherwise spot servers are only added.
    bool exchanges_kinds = true;
    /// Time for which the need must be lower before servers are ordered away.
    absl::Duration shrink_wait = absl::Seconds(8);
    /// Bound of the wait when shrinking had to be undone.
    absl::Duration max_shrink_wait = absl::Seconds(32);
    /// Time between two times that servers of a failure domain are ordered
    /// away, and the share of the excess that is, one server at least.
    absl::Duration shrink_interval = absl::Seconds(2);
    double shrink_share = 0.25;
    /// Time for which a pool is not ordered larger after a 409 or a loss.
    absl::Duration hold_off = absl::Seconds(5);
    absl::Duration min_backoff = absl::Milliseconds(500);
    absl::Duration max_backoff = absl::Seconds(4);
    /// Time between two orders. Leaves room for the usage reports in the limit
    /// of 50 calls per second.
    absl::Duration order_interval = absl::Milliseconds(25);
    /// Time between two writes of the record.
    absl::Duration record_interval = absl::Seconds(1);
    /// Time between two computations of the wanted numbers.
    absl::Duration plan_interval = absl::Milliseconds(200);
    std::partial_ordering operator<=>(const sizing_settings&) const = default;
};

} // namespace oriolefall::sizing

#endif
