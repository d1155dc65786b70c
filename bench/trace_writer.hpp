#ifndef ORIOLEFALL_BENCH_TRACE_WRITER_HPP
#define ORIOLEFALL_BENCH_TRACE_WRITER_HPP

#include "bench/trace.hpp"

#include <iosfwd>

namespace oriolefall::bench {

/// Prints a trace as JSON lines that `parse_trace` reads back as equal.
/// Times are rounded to microseconds.
void print_trace(std::ostream& out, const trace& printed);

} // namespace oriolefall::bench

#endif
