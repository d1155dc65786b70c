#ifndef ORIOLEFALL_BENCH_LOAD_RUNNER_HPP
#define ORIOLEFALL_BENCH_LOAD_RUNNER_HPP

#include "bench/load_report.hpp"
#include "bench/trace.hpp"
#include "oriolefall/core/backend_server.hpp"

#include <compare>
#include <cstddef>
#include <vector>

namespace oriolefall::bench {

/// How a trace is replayed against live instances.
struct load_settings
{
    /// Instances that are asked for addresses.
    std::vector<core::endpoint> entries;
    /// Times the pace of the trace.
    double speed = 1.0;
    /// Requests open at once; later arrivals wait, and the wait counts.
    std::size_t callers = 256;
    std::partial_ordering operator<=>(const load_settings&) const = default;
};

/// Sends every arrival of the trace when it is due and waits for all to end;
/// samples in the order in which they ended. One thread paces the arrivals
/// and a pool of callers sends them.
[[nodiscard]] std::vector<load_sample> run_load(const load_settings& settings,
                                                const trace& replayed);

/// The request that a caller sends for an arrival.
[[nodiscard]] load_request to_load_request(const trace& replayed,
                                           std::size_t arrival, double speed);

} // namespace oriolefall::bench

#endif
