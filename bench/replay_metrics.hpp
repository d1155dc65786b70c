#ifndef ORIOLEFALL_BENCH_REPLAY_METRICS_HPP
#define ORIOLEFALL_BENCH_REPLAY_METRICS_HPP

#include "bench/trace.hpp"
#include "oriolefall/core/verdict.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// How one request of a replay went, as its caller saw it.
struct request_outcome
{
    /// Its place in the trace's arrivals.
    std::size_t arrival = 0;
    std::optional<core::verdict> verdict;
    absl::Duration ended_at = absl::InfiniteDuration();
    absl::Duration first_token_at = absl::InfiniteDuration();
    absl::Duration last_token_at = absl::InfiniteDuration();
    /// Server time spent on it, and the part that was of no use.
    absl::Duration work = absl::ZeroDuration();
    absl::Duration wasted = absl::ZeroDuration();
    std::strong_ordering operator<=>(const request_outcome&) const = default;
};

/// What a replay gave.
struct replay_result
{
    std::vector<request_outcome> outcomes;
    std::uint64_t paid_bytes = 0;
    std::uint64_t duplicate_runs = 0;
    std::strong_ordering operator<=>(const replay_result&) const = default;
};

/// One figure; class and tier are "all" where it is of more than one.
struct metric
{
    std::string service_class;
    std::string tier;
    std::string name;
    double value = 0.0;
    std::partial_ordering operator<=>(const metric&) const = default;
};

/// The metrics of docs/TRACES.md: of the run, of each tier and each class.
[[nodiscard]] std::vector<metric> measure(const trace& replayed,
                                          const replay_result& result);

/// The value of one metric; nothing where it was not measured.
[[nodiscard]] std::optional<double> find_metric(const std::vector<metric>& all,
                                                const std::string& name,
                                                const std::string& tier,
                                                const std::string& class_name);

} // namespace oriolefall::bench

#endif
