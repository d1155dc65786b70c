#ifndef ORIOLEFALL_FORWARD_FORWARD_SETTINGS_HPP
#define ORIOLEFALL_FORWARD_FORWARD_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <compare>
#include <cstddef>

namespace oriolefall::forward {

/// Limits and timeouts of the connections to callers and backend servers.
struct forward_settings
{
    /// Address and port where callers connect.
    core::endpoint listen;
    /// Maximum number of open requests; further ones are refused at once.
    std::size_t max_open_requests = 2000;
    /// Maximum total size of the bodies of requests that arrive or are open.
    std::size_t max_request_bytes = std::size_t{48} * 1024 * 1024;
    std::size_t max_caller_connections = 3000;
    /// Unsent bytes for one caller above which its backend server is no longer
    /// read.
    std::size_t high_water_bytes = std::size_t{128} * 1024;
    /// An answer that is no event stream is buffered until it is complete, up
    /// to this size.
    std::size_t max_buffered_answer_bytes = std::size_t{128} * 1024;
    /// Maximum size of one event of a stream.
    std::size_t max_event_bytes = std::size_t{1024} * 1024;
    /// Maximum size of further requests that are read while one is open.
    std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
    /// Maximum number of incarnations of servers whose notices are remembered.
    std::size_t max_restricted_servers = 4096;
    std::chrono::milliseconds connect_timeout{700};
    /// A connection is closed when the backend server doesn't acknowledge sent
    /// data for this time.
    std::chrono::milliseconds server_ack_timeout{1500};
    /// The same for connections to callers.
    std::chrono::milliseconds caller_ack_timeout{8000};
    /// Time after which an idle connection is closed when the server announces
    /// no keep-alive timeout.
    std::chrono::milliseconds server_idle_timeout{4000};
    /// Subtracted from the keep-alive timeout that a server announces, so that
    /// no request is sent on a connection that the server is closing; at most
    /// half of that timeout is subtracted.
    std::chrono::milliseconds idle_timeout_margin{1000};
    /// Retry-After time for callers that are refused because a limit above is
    /// reached.
    absl::Duration retry_after = absl::Milliseconds(400);
    std::strong_ordering operator<=>(const forward_settings&) const = default;
};

} // namespace oriolefall::forward

#endif
