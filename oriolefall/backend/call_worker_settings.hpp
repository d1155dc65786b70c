#ifndef ORIOLEFALL_BACKEND_CALL_WORKER_SETTINGS_HPP
#define ORIOLEFALL_BACKEND_CALL_WORKER_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::backend {

/// Settings that are fixed for the lifetime of a `call_worker_pool`.
struct call_worker_settings
{
    /// Worker threads, each of which runs one call at a time.
    std::size_t worker_count = 256;
    /// Maximum number of calls that wait for a free worker.
    std::size_t max_queued_calls = 256;
    absl::Duration connect_timeout = absl::Milliseconds(500);
    /// Maximum time to send a request.
    absl::Duration write_timeout = absl::Seconds(2);
    /// Maximum number of idle connections retained for each backend server.
    std::size_t max_idle_connections = 16;
    std::size_t max_event_bytes = 256 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// Progress of a stream is reported at its first token and again after
    /// each further group of this many tokens.
    std::uint64_t tokens_per_progress_report = 8;
    std::strong_ordering
    operator<=>(const call_worker_settings&) const = default;
};

} // namespace oriolefall::backend

#endif
