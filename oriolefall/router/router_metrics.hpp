#ifndef ORIOLEFALL_ROUTER_ROUTER_METRICS_HPP
#define ORIOLEFALL_ROUTER_ROUTER_METRICS_HPP

#include "oriolefall/dispatch/decision_record.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace oriolefall::router {

/// What is true at the moment of a page of metrics.
struct momentary_figures
{
    std::uint64_t callers = 0;
    std::uint64_t open_requests = 0;
    std::uint64_t server_connections_opened = 0;
    std::uint64_t log_lines_dropped = 0;
    bool is_ready = false;
    auto operator<=>(const momentary_figures&) const = default;
};

/// Counters and latency histograms of one instance. Their number depends on
/// what can happen, not on workspaces or servers. Any thread.
class router_metrics
{
public:
    router_metrics();

    void note(const dispatch::decision_record& value);
    void note(const dispatch::ejection_change& value);
    void set_settings_version(std::uint64_t version);
    void set_servers(std::size_t ready, std::size_t leaving,
                     std::size_t doubtful);
    void set_instances(std::size_t count);
    void set_store_away(const std::string& collection, bool away);
    /// In the Prometheus text form, version 0.0.4.
    [[nodiscard]] std::string text(const momentary_figures& now);

private:
    using counter_family = prometheus::Family<prometheus::Counter>;
    using gauge_family = prometheus::Family<prometheus::Gauge>;
    using histogram_family = prometheus::Family<prometheus::Histogram>;

    [[nodiscard]] counter_family& counters(const std::string& name,
                                           const std::string& help);
    [[nodiscard]] gauge_family& gauges(const std::string& name,
                                       const std::string& help);
    [[nodiscard]] histogram_family& histograms(const std::string& name,
                                               const std::string& help);

    std::shared_ptr<prometheus::Registry> registry_;
    counter_family& requests_;
    counter_family& calls_;
    counter_family& server_changes_;
    prometheus::Counter& connections_;
    prometheus::Counter& dropped_;
    gauge_family& servers_;
    gauge_family& store_away_;
    prometheus::Gauge& settings_version_;
    prometheus::Gauge& instances_;
    prometheus::Gauge& callers_;
    prometheus::Gauge& open_requests_;
    prometheus::Gauge& ready_;
    prometheus::Histogram& first_event_;
    prometheus::Histogram& plain_answer_;
    prometheus::Histogram& event_gap_;
};

} // namespace oriolefall::router

#endif
