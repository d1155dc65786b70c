#ifndef ORIOLEFALL_DECISION_EVENT_HPP
#define ORIOLEFALL_DECISION_EVENT_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/core/verdict.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace oriolefall::decision {

/// Service classes and backend servers of one settings version. Immutable;
/// replaced as a whole.
struct routing_table
{
    /// Version of the settings; higher is later.
    std::uint64_t version = 0;
    std::vector<core::service_class> classes;
    std::vector<core::backend_server> servers;
    std::partial_ordering operator<=>(const routing_table&) const = default;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// A caller's request has been decoded and awaits a decision.
struct request_arrived
{
    core::request request;
    auto operator<=>(const request_arrived&) const = default;
};

/// The caller closed its connection.
struct caller_gone
{
    core::request_id request;
    auto operator<=>(const caller_gone&) const = default;
};

/// Tokens of an answer arrived; `tokens` counts from the start of the answer.
/// The first event of a call shows that the server has started on it.
struct call_progressed
{
    core::call_id call;
    std::uint64_t tokens = 0;
    auto operator<=>(const call_progressed&) const = default;
};

/// A call ended. Emitted exactly once for each `start_call`, including
/// cancelled calls.
struct call_ended
{
    core::call_id call;
    core::verdict verdict;
    /// Tokens of the answer delivered so far, counted from its start.
    std::uint64_t tokens = 0;
    /// Set if the server refused the call: time to wait before the next call to
    /// it.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const call_ended&) const = default;
};

/// A backend server reported its load; the report may be outdated.
struct load_reported
{
    core::backend_server_id server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Used share of the cache memory, 0 to 1.
    double cache_used = 0.0;
    /// Age of the report when it arrived.
    absl::Duration age = absl::ZeroDuration();
    std::partial_ordering operator<=>(const load_reported&) const = default;
};

/// New settings apply. Versions older than the current one are ignored.
struct table_applied
{
    routing_table_ptr table;
    std::strong_ordering operator<=>(const table_applied&) const = default;
};

/// State of an idempotency key in the fleet; answers `claim_key`.
enum class claim_outcome : std::uint8_t
{
    granted,     ///< only this request may run
    in_progress, ///< claimed by another request without an outcome
    ran,         ///< another request ran, or may have run
    unavailable  ///< the claim could not be decided
};

struct key_claimed
{
    core::request_id request;
    claim_outcome outcome = claim_outcome::unavailable;
    auto operator<=>(const key_claimed&) const = default;
};

/// The instance is shutting down and takes no new requests.
struct shutdown_requested
{
    auto operator<=>(const shutdown_requested&) const = default;
};

/// Time has passed without another event.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event = std::variant<request_arrived, caller_gone, call_progressed,
                           call_ended, load_reported, table_applied,
                           key_claimed, shutdown_requested, tick>;

} // namespace oriolefall::decision

#endif
