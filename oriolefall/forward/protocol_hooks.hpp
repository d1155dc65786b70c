#ifndef ORIOLEFALL_FORWARD_PROTOCOL_HOOKS_HPP
#define ORIOLEFALL_FORWARD_PROTOCOL_HOOKS_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/net/beast.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace oriolefall::forward {

using request_head = http::request_header<>;
using answer_head = http::response_header<>;

/// What one call adds to the caller's request.
struct call_additions
{
    /// Time that the server has for its work.
    absl::Duration time_left = absl::InfiniteDuration();
    std::size_t body_bytes = 0;
    /// The last event that the caller has; empty when it has none of this
    /// call's stream.
    std::string last_event;
    std::strong_ordering operator<=>(const call_additions&) const = default;
};

/// What the head of a backend server's answer tells.
struct answer_facts
{
    /// It names the request that it answers, and it is this one; or it names
    /// none.
    bool is_ours = true;
    /// The server says that it did not run the request.
    bool not_run = false;
    /// Another server than the one asked for has the address.
    bool wrong_server = false;
    /// It bears the server's signature.
    bool is_signed = false;
    /// It is a series of events.
    bool is_events = false;
    std::optional<dispatch::server_load> load;
    /// How long the server keeps an idle connection.
    std::optional<std::chrono::milliseconds> idle_limit;
    auto operator<=>(const answer_facts&) const = default;
};

/// The encoding of requests and answers. All are called on the forwarding
/// thread.
struct protocol_hooks
{
    /// Reads what the decisions need; `id`, `received` and `body_bytes` are
    /// filled in by the caller.
    std::function<dispatch::arrival(const request_head&)> read_request;
    /// The head of the request as it goes to the server, with its empty line.
    std::function<std::string(const request_head&, const dispatch::send_call&,
                              const call_additions&)>
        write_request;
    std::function<answer_facts(const request_head&, const answer_head&)>
        read_answer;
};

} // namespace oriolefall::forward

#endif
