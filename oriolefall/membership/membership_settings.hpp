#ifndef ORIOLEFALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBERSHIP_SETTINGS_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstddef>

namespace oriolefall::membership {

/// How instances find each other, and find each other gone.
struct membership_settings
{
    /// Between two heartbeats to the same peer.
    absl::Duration heartbeat_interval = absl::Seconds(1);
    /// Silence after which a peer is suspected.
    absl::Duration suspect_after = absl::Seconds(5);
    /// Time that a suspected instance has to contradict.
    absl::Duration dead_after = absl::Seconds(10);
    /// Longest silence borne from a peer that others still hear.
    absl::Duration longest_patience = absl::Minutes(2);
    /// How long the dead are remembered.
    absl::Duration forget_after = absl::Hours(1);
    /// Between two tries to reach one of the dead again.
    absl::Duration probe_interval = absl::Seconds(30);
    /// A gap between two steps beyond which this instance was itself paused.
    absl::Duration pause_limit = absl::Seconds(3);
    /// Members remembered at most, the dead included.
    std::size_t max_members = 4096;
    /// Members sent in one message at most.
    std::size_t max_news = 64;
    /// Links between two failure domains of a region, and between two regions.
    std::size_t links_between_groups = 2;
    /// Up to this number of instances each has a link to every other.
    std::size_t full_mesh_members = 0;
    std::strong_ordering
    operator<=>(const membership_settings&) const = default;
};

} // namespace oriolefall::membership

#endif
