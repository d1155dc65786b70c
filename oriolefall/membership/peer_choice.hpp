#ifndef ORIOLEFALL_MEMBERSHIP_PEER_CHOICE_HPP
#define ORIOLEFALL_MEMBERSHIP_PEER_CHOICE_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

/// The instances that `self` keeps a connection to; sorted, without itself and
/// the dead. Instances that hold the same table choose symmetrically, and the
/// graph of all choices is connected:
/// - inside a failure domain a ring in hash order with chords of the square
///   root of its size (a circulant graph), at most four links each;
/// - between two failure domains of a region `links_between_groups` links;
/// - between two regions as many, at instances of unlike failure domains.
/// The ends of the latter are chosen by rendezvous, so they spread over the
/// instances and move little when one goes.
[[nodiscard]] std::vector<core::instance_id>
choose_peers(const member& self, std::span<const member> members,
             std::size_t links_between_groups);

} // namespace oriolefall::membership

#endif
