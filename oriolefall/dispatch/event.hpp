#ifndef ORIOLEFALL_DISPATCH_EVENT_HPP
#define ORIOLEFALL_DISPATCH_EVENT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/crash_report.hpp"
#include "oriolefall/dispatch/load_report.hpp"
#include "oriolefall/dispatch/notice_report.hpp"
#include "oriolefall/dispatch/retry_budget.hpp"
#include "oriolefall/dispatch/server_entry.hpp"
#include "oriolefall/dispatch/server_notice.hpp"
#include "oriolefall/routing/route_table.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::dispatch {

/// A segment of a prompt that several requests may have in common.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    auto operator<=>(const prompt_part&) const = default;
};

/// A complete request was received from a caller.
struct arrival
{
    core::request_id id;
    std::string host;
    /// Path without the query.
    std::string path;
    std::string api_key;
    /// Request ID that the caller sent, for the log.
    std::string caller_request_id;
    /// How long the caller waits, counted from `received_at`.
    absl::Duration caller_timeout = absl::InfiniteDuration();
    /// Time at which the first byte of the request was received.
    absl::Time received_at;
    /// Parts of the prompt in order; empty for plain services.
    std::vector<prompt_part> prompt;
    std::uint32_t body_bytes = 0;
    std::strong_ordering operator<=>(const arrival&) const = default;
};

/// The caller closed its connection.
struct caller_left
{
    core::request_id id;
    auto operator<=>(const caller_left&) const = default;
};

/// Reason for which a call certainly did not run.
enum class not_run_cause : std::uint8_t
{
    not_connected, ///< no connection could be opened
    no_room,       ///< the connection limit of the server was reached
    refused,       ///< the server reported that it did not run the call
    wrong_server,  ///< another server answers at the address
    withheld       ///< the server has said meanwhile that it takes no calls
};

[[nodiscard]] std::string_view to_string(not_run_cause value);

/// A call ended, and the request has certainly not run at the server.
struct call_not_run
{
    core::request_id id;
    core::call_id call;
    not_run_cause cause = not_run_cause::refused;
    server_notice notice;
    std::partial_ordering operator<=>(const call_not_run&) const = default;
};

/// Reason for which a call ended without a complete answer.
enum class broken_cause : std::uint8_t
{
    connection_lost, ///< the connection was closed or reset
    malformed        ///< the data is not a valid answer to this request
};

[[nodiscard]] std::string_view to_string(broken_cause value);

/// What had been seen of a call that broke, for the log.
struct broken_call_details
{
    /// What was wrong with the data. Refers to a string literal of the program;
    /// empty when nothing was.
    std::string_view fault;
    /// Events of this call that were passed on.
    std::uint32_t events = 0;
    /// Id of the event after which the call resumed a stream, and of the last
    /// one that was passed on; 0 without one.
    std::uint64_t resumed_after = 0;
    std::uint64_t last_event = 0;
    /// Calls that the connection had carried before.
    std::uint32_t earlier_calls = 0;
    auto operator<=>(const broken_call_details&) const = default;
};

/// A call ended without a complete answer; the request may have run.
struct call_broken
{
    core::request_id id;
    core::call_id call;
    broken_cause cause = broken_cause::connection_lost;
    /// Part of the answer has been sent to the caller.
    bool has_answer_started = false;
    /// False when a part that was sent may be wrong, so that no other server
    /// can continue the answer.
    bool may_resume = true;
    broken_call_details details = {};
    auto operator<=>(const call_broken&) const = default;
};

/// A call has received no data for its first-event or gap timeout. The call
/// stays open.
struct call_silent
{
    core::request_id id;
    core::call_id call;
    auto operator<=>(const call_silent&) const = default;
};

/// The first event of a stream, or the header of a plain answer, was received.
struct call_answer_started
{
    core::request_id id;
    core::call_id call;
    int status = 0;
    server_notice notice;
    std::partial_ordering
    operator<=>(const call_answer_started&) const = default;
};

/// A complete answer with an error status was received and is held until the
/// dispatcher retries the request or forwards the answer.
struct call_failed
{
    core::request_id id;
    core::call_id call;
    int status = 0;
    server_notice notice;
    std::partial_ordering operator<=>(const call_failed&) const = default;
};

/// The complete answer was received and forwarded to the caller.
struct call_completed
{
    core::request_id id;
    core::call_id call;
    std::uint32_t events = 0;
    /// Longest time between two events of the answer.
    absl::Duration longest_gap = absl::ZeroDuration();
    std::strong_ordering operator<=>(const call_completed&) const = default;
};

/// A new version of the route settings was received.
struct routes_changed
{
    std::shared_ptr<const routing::route_table> table;
    auto operator<=>(const routes_changed&) const = default;
};

/// The list of backend servers changed.
struct servers_changed
{
    std::shared_ptr<const std::vector<server_entry>> servers;
    /// Those of `servers` whose store entry has lapsed while the store could
    /// not be reached, and which may still be running.
    std::vector<core::backend_server_id> stale;
    std::strong_ordering operator<=>(const servers_changed&) const = default;
};

/// The settings of the retry budget changed.
struct retry_budget_changed
{
    retry_budget_settings settings;
    std::partial_ordering
    operator<=>(const retry_budget_changed&) const = default;
};

/// The instances that share retry budgets and the limits of servers changed.
struct fleet_changed
{
    /// Number of those that may be there, also if they can't be reached.
    std::uint32_t instances = 1;
    /// Those that are known to be there, with this one.
    std::vector<core::instance_id> members;
    auto operator<=>(const fleet_changed&) const = default;
};

/// A load report of another instance was received.
struct load_report_received
{
    core::instance_id from;
    load_report report;
    auto operator<=>(const load_report_received&) const = default;
};

/// A crash report of another instance was received.
struct crash_report_received
{
    crash_report report;
    auto operator<=>(const crash_report_received&) const = default;
};

/// A notice report of another instance was received.
struct notice_report_received
{
    notice_report report;
    std::partial_ordering
    operator<=>(const notice_report_received&) const = default;
};

/// Lets the dispatcher process the deadlines that have passed.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event =
    std::variant<arrival, caller_left, call_not_run, call_broken, call_silent,
                 call_answer_started, call_failed, call_completed,
                 routes_changed, servers_changed, retry_budget_changed,
                 fleet_changed, load_report_received, crash_report_received,
                 notice_report_received, tick>;

/// True for events that are made up for when a busy deciding duty takes no more
/// of them: an arrival is refused, a silent call is told again, and the next
/// report of a peer has what this one had.
[[nodiscard]] bool may_be_dropped(const event& value);

} // namespace oriolefall::dispatch

#endif
