#ifndef ORIOLEFALL_DISPATCH_SERVER_ENTRY_HPP
#define ORIOLEFALL_DISPATCH_SERVER_ENTRY_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// A backend server as described by its entry in the list of servers.
struct server_entry
{
    core::backend_server_id id;
    routing::service_name service;
    core::endpoint endpoint;
    core::location location;
    /// Number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    /// The server accepts no new requests.
    bool is_draining = false;
    /// Cheaper, but the provider may take it away at short notice.
    bool is_spot = false;
    /// Time from when the entry was written until the server leaves, if it has
    /// given notice.
    std::optional<absl::Duration> leaves_in;
    /// Time until it runs at full speed.
    absl::Duration warmup_left = absl::ZeroDuration();
    /// Start time of the server process; changes with each restart.
    std::int64_t started_at_ms = 0;
    std::strong_ordering operator<=>(const server_entry&) const = default;
};

} // namespace oriolefall::dispatch

#endif
