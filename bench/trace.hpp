#ifndef ORIOLEFALL_BENCH_TRACE_HPP
#define ORIOLEFALL_BENCH_TRACE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/core/service_class.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Traces of arrivals and faults for the bench. docs/TRACES.md describes the
/// file format.
namespace oriolefall::bench {

/// How fast a modelled backend server works.
struct server_speed
{
    /// Prompt tokens computed per second when no prefix is cached.
    double prefill_tokens_per_s = 8000.0;
    /// Time of one token step with no other stream.
    absl::Duration step = absl::Milliseconds(20);
    /// Added to a token step by each other running stream.
    absl::Duration step_per_stream = absl::Milliseconds(1);
    /// Calls that wait inside the server before it refuses more.
    std::uint32_t queue_limit = 64;
    /// Prompt prefixes that the server's cache holds.
    std::uint32_t cached_prefixes = 32;
    /// Time of one call of a plain service.
    absl::Duration service_time = absl::Milliseconds(50);
    std::partial_ordering operator<=>(const server_speed&) const = default;
};

/// A backend server of a trace and its speed.
struct trace_server
{
    core::backend_server server;
    server_speed speed;
    std::partial_ordering operator<=>(const trace_server&) const = default;
};

/// The first line of a trace: the fleet at its start.
struct trace_header
{
    std::string name;
    /// Where the replayed entry instance stands.
    core::location location;
    /// One-way delay between two places of one region.
    absl::Duration domain_delay = absl::Milliseconds(1);
    /// One-way delay between two regions.
    absl::Duration region_delay = absl::Milliseconds(12);
    /// How often servers report their load.
    absl::Duration report_interval = absl::Milliseconds(500);
    std::vector<core::service_class> classes;
    std::vector<core::workspace_id> workspaces;
    std::vector<trace_server> servers;
    std::partial_ordering operator<=>(const trace_header&) const = default;
};

/// A request that arrives.
struct trace_arrival
{
    absl::Duration at;
    core::class_name service_class;
    core::workspace_id workspace;
    core::model_name model;
    std::optional<core::idempotency_key> key;
    std::uint32_t prompt_tokens = 0;
    /// Length of the whole answer; the router is not told.
    std::uint32_t output_tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Name of the prompt's head; equal heads share a cache entry.
    std::string prefix;
    /// Tokens of the prompt that the head covers.
    std::uint32_t prefix_tokens = 0;
    std::uint32_t body_bytes = 0;
    /// The caller closes its connection then, unless it is answered.
    absl::Duration gone_at = absl::InfiniteDuration();
    std::strong_ordering operator<=>(const trace_arrival&) const = default;
};

/// What goes wrong or changes at a moment of a trace.
enum class fault_kind : std::uint8_t
{
    straggler,       ///< steps take `factor` times as long
    crash,           ///< all connections break and new ones are refused
    silent,          ///< connections open at `at` never send again
    lying_load,      ///< reports say `running`, whatever is true
    lagging_load,    ///< reports are older by `lag`
    other_load,      ///< other instances hold `running` streams
    refusing,        ///< new calls are refused before any work
    region_cut,      ///< the region of `region` cannot be reached
    server_leaving,  ///< settings say that the server is leaving
    server_arriving, ///< settings name a new server
};

struct trace_fault
{
    absl::Duration at;
    /// When it ends; infinite where it stays.
    absl::Duration until = absl::InfiniteDuration();
    fault_kind kind = fault_kind::straggler;
    core::backend_server_id server;
    core::region_name region;
    double factor = 1.0;
    std::uint32_t running = 0;
    absl::Duration lag;
    /// Set for `server_arriving`.
    std::optional<trace_server> arriving;
    std::partial_ordering operator<=>(const trace_fault&) const = default;
};

/// A whole trace; arrivals and faults are each in order of time.
struct trace
{
    trace_header header;
    std::vector<trace_arrival> arrivals;
    std::vector<trace_fault> faults;
    std::partial_ordering operator<=>(const trace&) const = default;
};

/// The first fault found in a trace file.
struct trace_error
{
    /// Counted from 1; 0 when the file could not be read.
    std::size_t line = 0;
    std::string message;
    auto operator<=>(const trace_error&) const = default;
};

/// Reads a trace. Any thread.
[[nodiscard]] std::variant<trace, trace_error> parse_trace(std::istream& in);
/// Reads the trace in the file `path`. Any thread.
[[nodiscard]] std::variant<trace, trace_error>
load_trace(const std::string& path);

/// Hash of a prompt's head, as a router would compute it; 0 for none.
[[nodiscard]] std::uint64_t prefix_hash(const std::string& prefix);

/// The request that the router sees of `arrival`.
[[nodiscard]] core::request to_request(const trace_arrival& arrival,
                                       core::request_id id);

} // namespace oriolefall::bench

#endif
