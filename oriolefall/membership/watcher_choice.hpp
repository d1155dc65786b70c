#ifndef ORIOLEFALL_MEMBERSHIP_WATCHER_CHOICE_HPP
#define ORIOLEFALL_MEMBERSHIP_WATCHER_CHOICE_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

/// The instances that watch the platform's store: of the live instances of
/// each failure domain, the first `per_domain` by rendezvous hashing. Sorted. A
/// choice made from an outdated table is harmless: it costs one superfluous
/// call to the platform.
[[nodiscard]] std::vector<core::instance_id>
choose_watchers(std::span<const member> members, std::size_t per_domain);

/// The same for the failure domains of one region, `count` or more altogether.
/// Chosen among the members that are known by gossip: those known only from the
/// platform's list may be long gone.
[[nodiscard]] std::vector<core::instance_id>
choose_region_watchers(std::span<const member> members,
                       const core::region_name& region, std::size_t count);

} // namespace oriolefall::membership

#endif
