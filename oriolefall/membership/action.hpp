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

struct send_news
{
    core::instance_id to;
    std::vector<member> members;
    auto operator<=>(const send_news&) const = default;
};

struct send_buckets
{
    core::instance_id to;
    member_buckets buckets;
    auto operator<=>(const send_buckets&) const = default;
};

/// What is believed of an instance has changed; also told of this one.
struct member_changed
{
    membership::member member;
    auto operator<=>(const member_changed&) const = default;
};

/// The dead member was forgotten.
struct member_forgotten
{
    core::instance_id id;
    auto operator<=>(const member_forgotten&) const = default;
};

/// The whole set of instances to keep a connection to.
struct peers_chosen
{
    std::vector<member> peers;
    auto operator<=>(const peers_chosen&) const = default;
};

using action = std::variant<send_heartbeat, send_news, send_buckets,
                            member_changed, member_forgotten, peers_chosen>;

} // namespace oriolefall::membership

#endif
