#ifndef ORIOLEFALL_ROUTER_ROUTER_METRICS_HPP
#define ORIOLEFALL_ROUTER_ROUTER_METRICS_HPP

#include "oriolefall/dispatch/decision_record.hpp"
#include "oriolefall/dispatch/service_pool.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace oriolefall::router {

/// Values read when the metrics are exported.
struct current_stats
{
    std::uint64_t callers = 0;
    std::uint64_t open_requests = 0;
    std::uint64_t server_connections_opened = 0;
    std::uint64_t log_lines_dropped = 0;
    bool is_ready = false;
    auto operator<=>(const current_stats&) const = default;
};

/// Metrics of one instance. The number of time series depends on the possible
/// outcomes and the services, not on the number of workspaces or servers.
/// Thread-safe.
class router_metrics
{
public:
    router_metrics();

    void record(const dispatch::decision_record& value);
    void record(const dispatch::ejection_change& value);
    void record(const dispatch::quarantine_change& value);
    void record(const dispatch::rate_limit_change& value);
    void record(const dispatch::notice_record& value);
    void record(const dispatch::capacity_record& value);
    /// What others sent made its reader throw.
    void count_read_error();
    /// The lease of the duties of one instance at a time was acquired, lost or
    /// released.
    void count_lease_change(std::string_view change);
    /// A call to the provider has ended.
    void count_provider_call(const std::string& duty, std::string_view outcome);
    void set_settings_version(std::uint64_t version);
    void set_servers(std::size_t ready, std::size_t draining,
                     std::size_t stale);
    void set_instances(std::size_t count);
    void set_store_unreachable(const std::string& collection,
                               bool is_unreachable);
    /// The metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string text(const current_stats& stats);

private:
    using counter_family = prometheus::Family<prometheus::Counter>;
    using gauge_family = prometheus::Family<prometheus::Gauge>;
    using histogram_family = prometheus::Family<prometheus::Histogram>;

    static void set_range(gauge_family& family, const std::string& service,
                          const dispatch::value_range& range);
    [[nodiscard]] counter_family& counters(const std::string& name,
                                           const std::string& help);
    [[nodiscard]] gauge_family& gauges(const std::string& name,
                                       const std::string& help);
    [[nodiscard]] histogram_family& histograms(const std::string& name,
                                               const std::string& help);

    std::shared_ptr<prometheus::Registry> registry_;
    counter_family& requests_;
    counter_family& calls_;
    gauge_family& waiting_requests_;
    counter_family& server_changes_;
    counter_family& quarantine_changes_;
    counter_family& rate_limit_changes_;
    counter_family& server_notices_;
    counter_family& lease_changes_;
    counter_family& provider_calls_;
    prometheus::Counter& server_connections_opened_;
    prometheus::Counter& dropped_log_lines_;
    prometheus::Counter& read_errors_;
    gauge_family& servers_;
    gauge_family& store_unreachable_;
    gauge_family& call_limits_;
    gauge_family& time_scales_;
    prometheus::Gauge& settings_version_;
    prometheus::Gauge& instances_;
    prometheus::Gauge& callers_;
    prometheus::Gauge& open_requests_;
    prometheus::Gauge& is_ready_;
    prometheus::Histogram& first_event_;
    prometheus::Histogram& plain_answer_;
    prometheus::Histogram& event_gap_;
};

} // namespace oriolefall::router

#endif
