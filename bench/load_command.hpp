#ifndef ORIOLEFALL_BENCH_LOAD_COMMAND_HPP
#define ORIOLEFALL_BENCH_LOAD_COMMAND_HPP

#include "bench/load_runner.hpp"

#include <vector>

namespace oriolefall::bench {

/// Replays a trace against live instances and prints the figures: a table to
/// standard error, JSON lines to standard output. `engines`: stand-ins whose
/// counters tell the work. Gives the exit status.
int report_load(const load_settings& settings, const trace& replayed,
                const std::vector<core::endpoint>& engines);

} // namespace oriolefall::bench

#endif
