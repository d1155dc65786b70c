#ifndef ORIOLEFALL_ROUTER_FLEET_SETTINGS_HPP
#define ORIOLEFALL_ROUTER_FLEET_SETTINGS_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/membership/membership_settings.hpp"

#include <string>

namespace oriolefall::router {

/// Settings of the membership of a fleet of routers: times shorter than the
/// defaults, for fast failure detection.
[[nodiscard]] membership::membership_settings make_membership_settings();

/// Settings by which a router follows a collection. The timeouts differ between
/// instances, so that those that lose their watchers together do not call the
/// store at the same moment.
[[nodiscard]] follow::follower_settings
make_follower_settings(const std::string& collection,
                       const core::instance_id& instance);

} // namespace oriolefall::router

#endif
