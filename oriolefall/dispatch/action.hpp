#ifndef ORIOLEFALL_DISPATCH_ACTION_HPP
#define ORIOLEFALL_DISPATCH_ACTION_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/decision_note.hpp"
#include "oriolefall/dispatch/event.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::dispatch {

/// A request goes to a backend server.
struct send_call
{
    core::request_id id;
    core::call_id call;
    core::backend_server_id server;
    core::endpoint endpoint;
    /// Connections that this instance may have open to the server.
    std::uint32_t connection_limit = 0;
    /// Empty where no key is asked for.
    core::workspace_id workspace;
    /// Urgency at the server; 0 is first. Below zero: not told.
    int priority = -1;
    /// When the server is to stop its work.
    absl::Time stop_at = absl::InfiniteFuture();
    /// Silence before the first event or the answer, and between two events,
    /// after which the deciding duty is told.
    absl::Duration first_limit = absl::InfiniteDuration();
    absl::Duration gap_limit = absl::InfiniteDuration();
    /// An answer with an error status is held back for a decision.
    bool hold_errors = false;
    bool is_stream = false;
    std::strong_ordering operator<=>(const send_call&) const = default;
};

/// Ends a call under way and closes its connection.
struct cancel_call
{
    core::request_id id;
    core::call_id call;
    auto operator<=>(const cancel_call&) const = default;
};

/// The answer that was held back goes to the caller.
struct pass_failure
{
    core::request_id id;
    core::call_id call;
    auto operator<=>(const pass_failure&) const = default;
};

/// Why a request ends with an answer of this instance's own.
enum class refusal : std::uint8_t
{
    no_settings,    ///< no settings in force yet
    unknown_route,  ///< no route of this host and path
    unknown_key,    ///< no workspace holds the key
    no_server,      ///< no backend server can be used now
    overloaded,     ///< the servers have no room in time
    time_over,      ///< the time limit of the route or the caller came
    outcome_unknown ///< it may have run and no answer came
};

/// The name used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(refusal value);

/// Ends a request. When bytes of an answer have gone to the caller its
/// connection is closed without the answer's end.
struct refuse
{
    core::request_id id;
    refusal cause = refusal::no_server;
    /// True only when the request has not run and will not run.
    bool not_run = false;
    /// When a repeat makes sense; for `not_run` only.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const refuse&) const = default;
};

/// The other instances are to hear of this one's load.
struct tell_load
{
    load_report report;
    auto operator<=>(const tell_load&) const = default;
};

using action = std::variant<send_call, cancel_call, pass_failure, refuse,
                            tell_load, decision_note, server_note>;

} // namespace oriolefall::dispatch

#endif
