#ifndef ORIOLEFALL_MEMBERSHIP_WATCHER_CHOICE_HPP
#define ORIOLEFALL_MEMBERSHIP_WATCHER_CHOICE_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

/// The instances that hold the platform's watch: the first `per_domain` of
/// each failure domain by rendezvous, of those that are live. Sorted. A wrong
/// choice, made from an old table, costs a call to the platform and no more.
[[nodiscard]] std::vector<core::instance_id>
choose_watchers(std::span<const member> members, std::size_t per_domain);

} // namespace oriolefall::membership

#endif
