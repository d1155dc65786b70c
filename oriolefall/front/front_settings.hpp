#ifndef ORIOLEFALL_FRONT_FRONT_SETTINGS_HPP
#define ORIOLEFALL_FRONT_FRONT_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::front {

/// Limits of the callers' HTTP.
struct front_settings
{
    /// Where to listen; port 0 takes a free one.
    core::endpoint listen{"127.0.0.1", 0};
    /// Connections served at once; one thread each.
    std::size_t max_connections = 512;
    /// Connections beyond that which may ask for health and metrics.
    std::size_t reserved_connections = 8;
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    /// Tokens of one answer that wait for a slow caller at most.
    std::size_t answer_ring_capacity = 256;
    /// How often a caller's connection is looked at while nothing flows.
    absl::Duration caller_check_interval = absl::Milliseconds(50);
    /// Longest time from the first byte of a request to its last.
    absl::Duration request_timeout = absl::Seconds(10);
    /// Longest time for a caller to take more bytes of an answer.
    absl::Duration write_timeout = absl::Seconds(10);
    /// How long a connection stays open between requests.
    absl::Duration idle_timeout = absl::Seconds(10);
    /// The same for connections beyond `max_connections`.
    absl::Duration overflow_idle_timeout = absl::Seconds(1);
    std::strong_ordering operator<=>(const front_settings&) const = default;
};

} // namespace oriolefall::front

#endif
