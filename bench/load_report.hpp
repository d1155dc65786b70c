#ifndef ORIOLEFALL_BENCH_LOAD_REPORT_HPP
#define ORIOLEFALL_BENCH_LOAD_REPORT_HPP

#include "bench/load_call.hpp"
#include "bench/trace.hpp"
#include "oriolefall/core/service_class.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::bench {

/// One arrival of a trace and how it ended.
struct load_sample
{
    /// Place of the arrival in the trace.
    std::size_t arrival = 0;
    load_outcome outcome;
    std::strong_ordering operator<=>(const load_sample&) const = default;
};

/// What engines computed during a run, from their counters.
struct engine_work
{
    std::uint64_t tokens = 0;
    /// Highest priority first.
    std::vector<std::uint64_t> tokens_by_priority;
    auto operator<=>(const engine_work&) const = default;
};

/// Figures of a class, a tier or the whole run.
struct load_row
{
    std::string service_class;
    std::string tier;
    std::uint64_t offered = 0;
    std::uint64_t whole = 0;
    std::uint64_t refused = 0;
    /// Ended in an error that leaves open whether it ran, or was cut.
    std::uint64_t broken = 0;
    std::uint64_t left = 0;
    /// Requests that count for the attainment and those that met it.
    std::uint64_t counted = 0;
    std::uint64_t attained = 0;
    std::uint64_t attained_tokens = 0;
    std::uint64_t whole_tokens = 0;
    /// Tokens that callers got of answers that were not whole.
    std::uint64_t lost_tokens = 0;
    /// Tokens computed at engines, where it is known for this row.
    std::optional<std::uint64_t> computed_tokens{};
    std::vector<absl::Duration> first_tokens{};
    auto operator<=>(const load_row&) const = default;
};

/// Whether an outcome met every target of its class; nothing when it does
/// not count, since the caller left before a target could be missed.
[[nodiscard]] std::optional<bool>
attainment(const core::service_class& promised, const load_outcome& outcome,
           absl::Duration gone_after);

/// A row for each class, then for each tier, then for all.
[[nodiscard]] std::vector<load_row>
make_load_rows(const trace& replayed, const std::vector<load_sample>& samples,
               const engine_work& work);

/// The table that people read.
void print_table(std::ostream& out, const std::vector<load_row>& rows,
                 absl::Duration length);
/// One JSON line for each figure.
void print_lines(std::ostream& out, const std::vector<load_row>& rows,
                 absl::Duration length);

} // namespace oriolefall::bench

#endif
