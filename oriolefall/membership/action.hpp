#ifndef ORIOLEFALL_MEMBERSHIP_ACTION_HPP
#define ORIOLEFALL_MEMBERSHIP_ACTION_HPP

#include "oriolefall/membership/event.hpp"
#include "oriolefall/membership/member.hpp"

#include <compare>
#include <variant>
#include <vector>

namespace oriolefall::membership {

struct send_heartbeat
{
    core::instance_id to;
    membership::heartbeat heartbeat;
    auto operator<=>(const send_heartbeat&) const = default;
};

/// Send the new values of changed members to a peer.
struct send_member_update
{
    core::instance_id to;
    std::vector<member> members;
    auto operator<=>(const send_member_update&) const = default;
};

/// Send the bucket digests to a peer whose table digest differs.
struct send_buckets
{
    core::instance_id to;
    member_buckets buckets;
    auto operator<=>(const send_buckets&) const = default;
};

/// The entry of an instance has changed; also reported for this instance.
struct member_changed
{
    membership::member member;
    auto operator<=>(const member_changed&) const = default;
};

/// The tombstone of a dead member was removed.
struct member_forgotten
{
    core::instance_id id;
    auto operator<=>(const member_forgotten&) const = default;
};

/// The full set of instances to keep a connection to.
struct peers_chosen
{
    std::vector<member> peers;
    auto operator<=>(const peers_chosen&) const = default;
};

using action = std::variant<send_heartbeat, send_member_update, send_buckets,
                            member_changed, member_forgotten, peers_chosen>;

} // namespace oriolefall::membership

#endif
