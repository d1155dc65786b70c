#ifndef ORIOLEFALL_DISPATCH_DECISION_NOTE_HPP
#define ORIOLEFALL_DISPATCH_DECISION_NOTE_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace oriolefall::dispatch {

/// What was decided about a request, or became known of its call.
enum class decision : std::uint8_t
{
    sent,           ///< to the server named
    not_run,        ///< the server, or the connection to it, took nothing
    broken,         ///< the call ended without its whole answer
    silent,         ///< the call was given up for its silence
    failed,         ///< the server answered with an error
    answered,       ///< whole; ends the request
    passed_failure, ///< the server's error went to the caller; ends it
    caller_left,    ///< ends it
    refused         ///< by this instance; ends it
};

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(decision value);
[[nodiscard]] bool ends_request(decision value);
/// The caller got no answer that it asked for.
[[nodiscard]] bool is_failure(decision value);

/// One decision about a request, with what it rested on.
struct decision_note
{
    core::request_id id;
    /// The caller's own name of the request.
    std::string caller_id;
    decision what = decision::sent;
    /// Of a refusal, or of a call that ended badly; text of the program.
    std::string_view cause;
    /// Status that the server answered with; 0 when it did not.
    int status = 0;
    absl::Duration since_arrival = absl::ZeroDuration();
    /// 0 when no settings are known.
    std::uint64_t settings_version = 0;
    /// Chosen, or used last; empty before there was one.
    core::backend_server_id server;
    /// Servers that the request was sent to so far.
    std::uint32_t servers_tried = 0;
    /// Calls at the chosen server: own ones, and those that others told of.
    std::uint32_t own_calls = 0;
    std::uint32_t other_calls = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t tokens_to_read = 0;
    /// Expected time to the first event or the answer.
    absl::Duration expected = absl::ZeroDuration();
    /// Of a request that was answered.
    bool is_stream = false;
    absl::Duration first_event = absl::ZeroDuration();
    absl::Duration longest_gap = absl::ZeroDuration();
    std::uint32_t events = 0;
    std::strong_ordering operator<=>(const decision_note&) const = default;
};

/// A server gets no requests for its failures, or gets them again.
struct server_note
{
    core::backend_server_id server;
    bool is_out = false;
    /// How long it is left out.
    absl::Duration lasts = absl::ZeroDuration();
    /// Share of its late calls that failed, in percent.
    std::uint32_t failed_percent = 0;
    std::strong_ordering operator<=>(const server_note&) const = default;
};

} // namespace oriolefall::dispatch

#endif
