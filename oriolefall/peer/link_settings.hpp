#ifndef ORIOLEFALL_PEER_LINK_SETTINGS_HPP
#define ORIOLEFALL_PEER_LINK_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/peer/proof.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace oriolefall::peer {

/// Settings of this instance's connections to other instances.
struct link_settings
{
    core::instance_id self;
    std::uint64_t incarnation = 0;
    /// Where to listen for other instances; port 0 selects a free port.
    core::endpoint listen{"127.0.0.1", 0};
    /// Secret key shared by all instances of the fleet.
    std::string key;
    version_range versions;
    /// Maximum size of one encoded message.
    std::size_t max_record_bytes = std::size_t{2} * 1024 * 1024;
    /// Maximum number of bytes queued for one instance.
    std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;
    /// Maximum number of connections opened by other instances.
    std::size_t max_accepted_connections = 64;
    /// Maximum number of commands queued for the peer thread.
    std::size_t ring_capacity = 1024;
    absl::Duration handshake_timeout = absl::Seconds(3);
    /// Time without received bytes after which a ping is sent.
    absl::Duration keepalive_time = absl::Seconds(3);
    /// Time without received bytes after which a connection is closed.
    absl::Duration receive_timeout = absl::Seconds(8);
    absl::Duration initial_backoff = absl::Milliseconds(100);
    absl::Duration max_backoff = absl::Seconds(10);
    /// Delay before the first attempt to dial a peer with a lower name. It lets
    /// that peer connect first, so that two instances that choose each other
    /// do not both dial.
    absl::Duration dial_delay = absl::Seconds(1);
    /// Seed of the jitter of the dial backoff.
    std::uint64_t jitter_seed = 0;
    std::strong_ordering operator<=>(const link_settings&) const = default;
};

} // namespace oriolefall::peer

#endif
