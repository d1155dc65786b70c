#ifndef ORIOLEFALL_BENCH_COMMANDS_HPP
#define ORIOLEFALL_BENCH_COMMANDS_HPP

#include "bench/trace.hpp"

#include <functional>
#include <span>
#include <string>

namespace oriolefall::bench {

/// One subcommand of the bench program. Gets the words after its name and
/// gives the exit status: 0 good, 1 failed, 2 wrong use or input.
using command_hook = std::function<int(std::span<const std::string>)>;

/// Exit status for wrong use or a bad input file.
inline constexpr int exit_wrong_use = 2;

/// Reads a trace and says what it holds.
int check_trace_command(std::span<const std::string> words);
/// Prints a fault of the trace file `path`; gives `exit_wrong_use`.
int report_trace_error(const std::string& path, const trace_error& error);
/// Replays a trace through the decisions in virtual time.
int replay_command(std::span<const std::string> words);
/// Writes the generated traces into a directory.
int make_traces_command(std::span<const std::string> words);
/// Measures the cost of decisions.
int decider_command(std::span<const std::string> words);
/// Replays a trace against live entry instances.
int load_command(std::span<const std::string> words);
/// Measures the time that an instance adds to a request, and what it costs
/// when idle.
int overhead_command(std::span<const std::string> words);
/// Measures what control costs each instance of a fleet.
int fleet_command(std::span<const std::string> words);
/// Starts a fleet on loopback, replays a trace against it and stops it.
int demo_command(std::span<const std::string> words);

} // namespace oriolefall::bench

#endif
