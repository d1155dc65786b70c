#ifndef ORIOLEFALL_FORWARD_FORWARD_SETTINGS_HPP
#define ORIOLEFALL_FORWARD_FORWARD_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <compare>
#include <cstddef>

namespace oriolefall::forward {

/// Bounds of the connections to callers and backend servers.
struct forward_settings
{
    /// Where callers connect.
    core::endpoint listen;
    /// Requests open at the same time at most; more are refused at once.
    std::size_t most_open = 2000;
    /// Bytes of requests held for them at most.
    std::size_t most_request_bytes = std::size_t{48} * 1024 * 1024;
    /// Connections of callers at most.
    std::size_t most_callers = 3000;
    /// Bytes that wait for one caller before its server is no longer read.
    std::size_t high_water_bytes = std::size_t{128} * 1024;
    /// A plain answer up to this size is held until it is whole.
    std::size_t held_answer_bytes = std::size_t{128} * 1024;
    /// Bytes of further requests read while one is open.
    std::size_t read_ahead_bytes = std::size_t{64} * 1024;
    std::chrono::milliseconds connect_limit{700};
    /// Data that a backend server doesn't acknowledge for so long ends the
    /// connection.
    std::chrono::milliseconds server_ack_limit{1500};
    std::chrono::milliseconds caller_ack_limit{8000};
    /// A kept connection is closed after this time when the server tells no
    /// time of its own.
    std::chrono::milliseconds server_idle_limit{4000};
    /// Taken off the time that the server tells, so that no request meets the
    /// close; half of that time at most.
    std::chrono::milliseconds idle_margin{1000};
    /// When callers come back that were refused for want of room here.
    absl::Duration come_back = absl::Milliseconds(400);
    std::strong_ordering operator<=>(const forward_settings&) const = default;
};

} // namespace oriolefall::forward

#endif
