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

} // namespace oriolefall::membership

#endif
