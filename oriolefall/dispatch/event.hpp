#ifndef ORIOLEFALL_DISPATCH_EVENT_HPP
#define ORIOLEFALL_DISPATCH_EVENT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/dispatch/load_report.hpp"
#include "oriolefall/dispatch/repeat_budget.hpp"
#include "oriolefall/dispatch/server_entry.hpp"
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

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
    auto operator<=>(const prompt_part&) const = default;
};

/// A request was read whole from a caller.
struct arrival
{
    core::request_id id;
    std::string host;
    /// Without the query.
    std::string path;
    std::string api_key;
    /// The caller's own name of the request, for the log.
    std::string caller_id;
    /// How long the caller waits, counted from `received`.
    absl::Duration patience = absl::InfiniteDuration();
    /// When its first byte came.
    absl::Time received;
    /// The prompt's parts in order; empty for plain services.
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

/// Why a call certainly did not run.
enum class not_run_cause : std::uint8_t
{
    not_connected, ///< no connection could be opened
    no_room,       ///< the limit of connections to the server was reached
    refused,       ///< the server said that it did not run it
    wrong_server   ///< another server answers at the address
};

[[nodiscard]] std::string_view to_string(not_run_cause value);

/// A call ended and its request has certainly not run there.
struct call_not_run
{
    core::request_id id;
    core::call_id call;
    not_run_cause cause = not_run_cause::refused;
    std::optional<server_load> load;
    auto operator<=>(const call_not_run&) const = default;
};

/// Why a call ended without its whole answer.
enum class broken_cause : std::uint8_t
{
    connection_lost, ///< it closed or was reset
    malformed        ///< what came is no answer to this request
};

[[nodiscard]] std::string_view to_string(broken_cause value);

/// A call ended without its whole answer; its request may have run.
struct call_broken
{
    core::request_id id;
    core::call_id call;
    broken_cause cause = broken_cause::connection_lost;
    /// Bytes of the answer have gone to the caller.
    bool answer_begun = false;
    auto operator<=>(const call_broken&) const = default;
};

/// A call has brought nothing for as long as its order allows. It goes on.
struct call_silent
{
    core::request_id id;
    core::call_id call;
    auto operator<=>(const call_silent&) const = default;
};

/// The first event of a stream, or the head of a plain answer, came.
struct call_answered
{
    core::request_id id;
    core::call_id call;
    int status = 0;
    std::optional<server_load> load;
    auto operator<=>(const call_answered&) const = default;
};

/// A whole answer with an error status came and is held back; the decision
/// is whether it goes to the caller.
struct call_failed
{
    core::request_id id;
    core::call_id call;
    int status = 0;
    std::optional<server_load> load;
    auto operator<=>(const call_failed&) const = default;
};

/// The whole answer came and went to the caller.
struct call_done
{
    core::request_id id;
    core::call_id call;
    std::uint32_t events = 0;
    /// Longest pause between two events of the answer.
    absl::Duration longest_gap = absl::ZeroDuration();
    std::strong_ordering operator<=>(const call_done&) const = default;
};

/// A new version of what is in force.
struct routes_changed
{
    std::shared_ptr<const routing::route_table> table;
    auto operator<=>(const routes_changed&) const = default;
};

/// The backend servers that there are, and those of them that the list no
/// longer names but that may still live.
struct servers_changed
{
    std::shared_ptr<const std::vector<server_entry>> servers;
    std::vector<core::backend_server_id> doubtful;
    std::strong_ordering operator<=>(const servers_changed&) const = default;
};

/// Another budget of repeats is in force.
struct repeats_changed
{
    repeat_budget_settings repeats;
    std::partial_ordering operator<=>(const repeats_changed&) const = default;
};

/// How many instances share budgets and connection limits.
struct fleet_changed
{
    std::uint32_t instances = 1;
    auto operator<=>(const fleet_changed&) const = default;
};

/// Another instance told of its load.
struct load_heard
{
    core::instance_id from;
    load_report report;
    auto operator<=>(const load_heard&) const = default;
};

/// Time has passed.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event = std::variant<arrival, caller_left, call_not_run, call_broken,
                           call_silent, call_answered, call_failed, call_done,
                           routes_changed, servers_changed, repeats_changed,
                           fleet_changed, load_heard, tick>;

} // namespace oriolefall::dispatch

#endif
