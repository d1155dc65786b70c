#ifndef ORIOLEFALL_FRONT_FRONT_SETTINGS_HPP
#define ORIOLEFALL_FRONT_FRONT_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::front {

/// Address and limits of the HTTP interface for callers and operators.
struct front_settings
{
    /// Address to listen at; port 0 selects a free port.
    core::endpoint listen{"127.0.0.1", 0};
    /// Connections served at once, each by a thread of its own.
    std::size_t max_connections = 512;
    /// Further connections on which only the operators' paths, such as health
    /// and metrics, are answered.
    std::size_t reserved_connections = 8;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    /// Maximum number of an answer's tokens that wait for a slow caller.
    std::size_t answer_ring_capacity = 256;
    /// Time between two checks whether a caller that waits for its answer is
    /// still connected.
    absl::Duration caller_check_interval = absl::Milliseconds(50);
    /// Maximum time from the first byte of a request to its last.
    absl::Duration request_timeout = absl::Seconds(10);
    /// Maximum time that a write waits for the caller to read earlier bytes
    /// of the answer.
    absl::Duration write_timeout = absl::Seconds(10);
    /// How long a connection stays open between requests.
    absl::Duration idle_timeout = absl::Seconds(10);
    /// `idle_timeout` for connections above `max_connections`.
    absl::Duration overflow_idle_timeout = absl::Seconds(1);
    std::strong_ordering operator<=>(const front_settings&) const = default;
};

} // namespace oriolefall::front

#endif
