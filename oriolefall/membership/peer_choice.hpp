#ifndef ORIOLEFALL_MEMBERSHIP_PEER_CHOICE_HPP
#define ORIOLEFALL_MEMBERSHIP_PEER_CHOICE_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

/// The instances that `self` keeps a connection to, sorted, without itself and
/// the dead. Instances with equal tables choose symmetrically, and the graph
/// of all choices is connected:
/// - inside a failure domain, a ring in hash order with chords whose length is
///   the square root of the ring's size (a circulant graph), at most four
///   links for each instance;
/// - between two failure domains of a region, `links_between_groups` links;
/// - between two regions, the same number of links, at instances of different
///   failure domains.
/// The ends of the links between groups are chosen by rendezvous hashing, so
/// they are spread over the instances and few of them change when an instance
/// goes.
[[nodiscard]] std::vector<core::instance_id>
choose_peers(const member& self, std::span<const member> members,
             std::size_t links_between_groups);

} // namespace oriolefall::membership

#endif
