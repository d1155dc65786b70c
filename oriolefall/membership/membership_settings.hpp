#ifndef ORIOLEFALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::membership {

/// Settings of gossip, peer links and failure detection.
struct membership_settings
{
    /// Time between two heartbeats to the same peer.
    absl::Duration heartbeat_interval = absl::Seconds(1);
    /// Time without a message after which a peer is suspected.
    absl::Duration heartbeat_timeout = absl::Seconds(5);
    /// Time in which a suspected instance must refute the suspicion, after
    /// which it is declared dead.
    absl::Duration suspicion_timeout = absl::Seconds(10);
    /// Upper bound of the timeout of a peer that refutes suspicions, that is,
    /// one whose messages others still receive.
    absl::Duration max_heartbeat_timeout = absl::Minutes(2);
    /// How long the dead are retained as tombstones.
    absl::Duration tombstone_lifetime = absl::Hours(1);
    /// Time between two attempts to connect to a dead member.
    absl::Duration probe_interval = absl::Seconds(30);
    /// A longer gap between two steps means that this instance was itself
    /// paused.
    absl::Duration pause_threshold = absl::Seconds(3);
    /// Maximum number of members in the table, including the dead.
    std::size_t max_members = 4096;
    std::size_t max_members_per_message = 64;
    /// Number of links between two failure domains of a region, and between
    /// two regions.
    std::size_t links_between_groups = 2;
    /// Minimum number of watchers of its region to which an instance keeps
    /// links; see `choose_region_watchers`.
    std::size_t links_to_watchers = 0;
    /// Up to this number of members, each instance has a link to every other.
    std::size_t max_full_mesh_size = 0;
    std::strong_ordering
    operator<=>(const membership_settings&) const = default;
};

} // namespace oriolefall::membership

#endif
