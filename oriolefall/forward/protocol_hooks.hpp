#ifndef ORIOLEFALL_FORWARD_PROTOCOL_HOOKS_HPP
#define ORIOLEFALL_FORWARD_PROTOCOL_HOOKS_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/net/beast.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oriolefall::forward {

using request_head = http::request_header<>;
using answer_head = http::response_header<>;

/// What one call adds to the head of the caller's request.
struct call_additions
{
    /// Time until the server is to stop its work on the request.
    absl::Duration time_left = absl::InfiniteDuration();
    std::size_t body_bytes = 0;
    /// Id of the last event that the caller has received, from which the server
    /// resumes the stream; empty when the call starts a new answer.
    std::string last_event_id;
    std::strong_ordering operator<=>(const call_additions&) const = default;
};

/// Whose answer it is, by the request that the answer names.
enum class addressee : std::uint8_t
{
    this_request, ///< named, or this request has no name of its own
    unnamed,      ///< the answer names none, and this request has a name
    another_request
};

/// What the forwarding duty reads from the head of a backend server's answer.
struct answer_head_info
{
    addressee addressed_to = addressee::this_request;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// The address belongs to another server than the one that was called.
    bool wrong_server = false;
    /// The answer has the server's signature.
    bool is_signed = false;
    dispatch::server_notice notice;
    std::partial_ordering operator<=>(const answer_head_info&) const = default;
};

/// Encoding and decoding of requests and answers. All hooks are called on the
/// forwarding thread.
struct protocol_hooks
{
    /// Extracts what the deciding duty needs; `id`, `received` and `body_bytes`
    /// are set by the forwarding duty.
    std::function<dispatch::arrival(const request_head&)> read_request;
    /// Formats the head of the request to the server, with the empty line that
    /// ends it.
    std::function<std::string(const request_head&, const dispatch::send_call&,
                              const call_additions&)>
        write_request;
    /// Reads the answer's head; the first argument is the caller's request.
    std::function<answer_head_info(const request_head&, const answer_head&)>
        read_answer;
};

} // namespace oriolefall::forward

#endif
