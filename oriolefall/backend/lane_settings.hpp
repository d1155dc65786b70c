#ifndef ORIOLEFALL_BACKEND_LANE_SETTINGS_HPP
#define ORIOLEFALL_BACKEND_LANE_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::backend {

/// What is fixed for the life of a `lane_pool`.
struct lane_settings
{
    /// Calls carried out at once; one thread each.
    std::size_t lanes = 256;
    /// Calls that wait for a free lane at most.
    std::size_t waiting_calls = 256;
    absl::Duration connect_timeout = absl::Milliseconds(500);
    /// Longest time to send a request.
    absl::Duration write_timeout = absl::Seconds(2);
    /// Idle connections kept to each backend server.
    std::size_t idle_connections = 16;
    std::size_t max_event_bytes = 256 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Progress of a stream is told at the first token and then each time
    /// that so many more have come.
    std::uint64_t tokens_per_progress = 8;
    std::strong_ordering operator<=>(const lane_settings&) const = default;
};

} // namespace oriolefall::backend

#endif
