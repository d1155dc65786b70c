#ifndef ORIOLEFALL_OBSERVE_METRICS_REGISTRY_HPP
#define ORIOLEFALL_OBSERVE_METRICS_REGISTRY_HPP

#include "oriolefall/observe/record.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace oriolefall::observe {

/// Counters and latencies of one instance. Not thread-safe.
class metrics_registry
{
public:
    metrics_registry();

    void add(const request_finished& end);
    void add(const decision_step& step);
    void add(const early_refusal& refusal);
    void add(const counter_added& counter);

    /// The metrics in the Prometheus text format, version 0.0.4. Latencies are
    /// in seconds.
    [[nodiscard]] std::string text() const;

private:
    using quantile_set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square>>;

    void increment(const std::string& name, const std::string& labels,
                   std::uint64_t amount = 1);
    void record_latency(const std::string& name, const std::string& labels,
                        absl::Duration value);

    /// By name, then by labels, because the format groups values by name.
    std::map<std::string, std::map<std::string, std::uint64_t>> counters_;
    std::map<std::string, std::map<std::string, quantile_set>> latencies_;
};

} // namespace oriolefall::observe

#endif
