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

/// What the decisions are made from; replaced as a whole, never changed.
struct routing_table
{
    /// Version of the settings it was made from; later is higher.
    std::uint64_t version = 0;
    std::vector<core::service_class> classes;
    std::vector<core::backend_server> servers;
    std::partial_ordering operator<=>(const routing_table&) const = default;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

/// A caller's request was decoded and waits for a decision.
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

/// Tokens of an answer came; `tokens` counts from the start of the answer.
/// The first one of a call tells that the server has started on it.
struct call_progressed
{
    core::call_id call;
    std::uint64_t tokens = 0;
    auto operator<=>(const call_progressed&) const = default;
};

/// A call ended. Sent exactly once for each `start_call`, also when it was
/// cancelled.
struct call_ended
{
    core::call_id call;
    core::verdict verdict;
    /// Tokens of the answer delivered so far, from its start.
    std::uint64_t tokens = 0;
    /// Set when the server refused it: when to ask that server again.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const call_ended&) const = default;
};

/// A backend server told its load; the report may lag behind the truth.
struct load_reported
{
    core::backend_server_id server;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Share of cache memory in use, 0 to 1.
    double cache_used = 0.0;
    /// How old the figures were when they came.
    absl::Duration age = absl::ZeroDuration();
    std::partial_ordering operator<=>(const load_reported&) const = default;
};

/// New settings are in force. Older versions than the one held are ignored.
struct table_applied
{
    routing_table_ptr table;
    std::strong_ordering operator<=>(const table_applied&) const = default;
};

/// What the fleet knows of an idempotency key; answers `claim_key`.
enum class claim_outcome : std::uint8_t
{
    granted,     ///< this request is the only one that may run
    in_progress, ///< another one holds it and has no outcome yet
    ran,         ///< another one ran, or may have
    unavailable  ///< it could not be agreed
};

struct key_claimed
{
    core::request_id request;
    claim_outcome outcome = claim_outcome::unavailable;
    auto operator<=>(const key_claimed&) const = default;
};

/// This instance is to stop: it takes no new requests.
struct shutdown_requested
{
    auto operator<=>(const shutdown_requested&) const = default;
};

/// Time has passed and nothing else happened.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event = std::variant<request_arrived, caller_gone, call_progressed,
                           call_ended, load_reported, table_applied,
                           key_claimed, shutdown_requested, tick>;

} // namespace oriolefall::decision

#endif
