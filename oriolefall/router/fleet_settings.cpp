#include "oriolefall/router/fleet_settings.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <cstdint>
#include <limits>

namespace oriolefall::router {

namespace {

constexpr absl::Duration max_relay_timeout_spread = absl::Milliseconds(500);

} // namespace

membership::membership_settings make_membership_settings()
{
    membership::membership_settings settings;
    settings.heartbeat_interval = absl::Milliseconds(400);
    settings.heartbeat_timeout = absl::Milliseconds(1100);
    settings.suspicion_timeout = absl::Milliseconds(1500);
    settings.tombstone_lifetime = absl::Minutes(5);
    settings.probe_interval = absl::Seconds(2);
    settings.max_full_mesh_size = 12;
    settings.links_to_watchers = 2;
    settings.pause_threshold = absl::Milliseconds(900);
    return settings;
}

follow::follower_settings
make_follower_settings(const std::string& collection,
                       const core::instance_id& instance)
{
    follow::follower_settings follower{.collection = collection};
    follower.may_start_stale = true;
    follower.initial_role = follow::relay_role::follower;
    const double spread =
        static_cast<double>(
            membership::rendezvous_weight(collection, instance.value())) /
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    follower.relay_timeout += max_relay_timeout_spread * spread;
    follower.initial_relay_timeout += max_relay_timeout_spread * spread;
    return follower;
}

} // namespace oriolefall::router
