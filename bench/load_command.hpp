#ifndef ORIOLEFALL_BENCH_LOAD_COMMAND_HPP
#define ORIOLEFALL_BENCH_LOAD_COMMAND_HPP

#include "bench/load_report.hpp"
#include "bench/load_runner.hpp"

#include <absl/time/time.h>

#include <vector>

namespace oriolefall::bench {

/// What a replay against live instances gave.
struct load_run
{
    std::vector<load_sample> samples;
    std::vector<load_row> rows;
    /// From the first arrival to when the last was due.
    absl::Duration length;
};

/// Replays a trace against live instances. `engines`: stand-ins whose
/// counters tell the work that was done.
[[nodiscard]] load_run measure_load(const load_settings& settings,
                                    const trace& replayed,
                                    const std::vector<core::endpoint>& engines);

} // namespace oriolefall::bench

#endif
