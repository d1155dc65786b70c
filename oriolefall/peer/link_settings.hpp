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

/// How this instance talks with others.
struct link_settings
{
    core::instance_id self;
    std::uint64_t incarnation = 0;
    /// Where to listen for other instances; port 0 takes a free one.
    core::endpoint listen{"127.0.0.1", 0};
    /// Key that all instances of the fleet share.
    std::string key;
    version_range versions;
    /// Longest message.
    std::size_t max_record_bytes = std::size_t{2} * 1024 * 1024;
    /// Bytes that wait for one instance at most.
    std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;
    /// Connections that others have opened, at most.
    std::size_t max_accepted_connections = 64;
    /// Messages that wait for the peer thread at most.
    std::size_t ring_capacity = 1024;
    absl::Duration handshake_timeout = absl::Seconds(3);
    /// Silence after which a sign of life is asked for.
    absl::Duration keepalive_time = absl::Seconds(3);
    /// Silence after which a connection is replaced.
    absl::Duration receive_timeout = absl::Seconds(8);
    absl::Duration initial_backoff = absl::Milliseconds(100);
    absl::Duration max_backoff = absl::Seconds(10);
    /// Of two instances that want each other, the one with the higher name
    /// gives the other this time to connect first.
    absl::Duration dial_delay = absl::Seconds(1);
    /// Seed of the jitter.
    std::uint64_t jitter_seed = 0;
    std::strong_ordering operator<=>(const link_settings&) const = default;
};

} // namespace oriolefall::peer

#endif
