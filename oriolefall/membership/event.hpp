#ifndef ORIOLEFALL_MEMBERSHIP_EVENT_HPP
#define ORIOLEFALL_MEMBERSHIP_EVENT_HPP

#include "oriolefall/membership/member.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolefall::membership {

/// What an instance sends to its linked peers at a fixed interval.
struct heartbeat
{
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    /// Digest of the sender's settings in force.
    std::uint64_t settings_digest = 0;
    /// Digest of the sender's member table.
    std::uint64_t members_digest = 0;
    auto operator<=>(const heartbeat&) const = default;
};

struct heartbeat_received
{
    core::instance_id from;
    membership::heartbeat heartbeat;
    auto operator<=>(const heartbeat_received&) const = default;
};

/// A peer sent the values of some members.
struct member_update_received
{
    core::instance_id from;
    std::vector<member> members;
    auto operator<=>(const member_update_received&) const = default;
};

/// A peer whose table digest differs sent its bucket digests.
struct buckets_received
{
    core::instance_id from;
    member_buckets buckets;
    auto operator<=>(const buckets_received&) const = default;
};

/// An authenticated connection to this instance is open.
struct link_opened
{
    core::instance_id peer;
    auto operator<=>(const link_opened&) const = default;
};

struct link_closed
{
    core::instance_id peer;
    auto operator<=>(const link_closed&) const = default;
};

/// The platform's list of instances. It lags, so incarnations in it are
/// ignored.
struct platform_listed
{
    std::vector<member> members;
    auto operator<=>(const platform_listed&) const = default;
};

/// The settings in force at this instance have changed.
struct settings_applied
{
    std::uint64_t digest = 0;
    auto operator<=>(const settings_applied&) const = default;
};

/// This instance is about to shut down.
struct leave_requested
{
    auto operator<=>(const leave_requested&) const = default;
};

/// Time has passed without any other event.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event =
    std::variant<heartbeat_received, member_update_received, buckets_received,
                 link_opened, link_closed, platform_listed, settings_applied,
                 leave_requested, tick>;

} // namespace oriolefall::membership

#endif
