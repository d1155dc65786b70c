#ifndef ORIOLEFALL_MEMBERSHIP_EVENT_HPP
#define ORIOLEFALL_MEMBERSHIP_EVENT_HPP

#include "oriolefall/membership/member.hpp"

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolefall::membership {

/// What an instance tells its peers all the time.
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

/// A peer told what has changed.
struct news_received
{
    core::instance_id from;
    std::vector<member> members;
    auto operator<=>(const news_received&) const = default;
};

/// A peer whose digest differs told its bucket digests.
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

/// The platform's list, which lags; incarnations in it are ignored.
struct platform_listed
{
    std::vector<member> members;
    auto operator<=>(const platform_listed&) const = default;
};

/// This instance has other settings in force.
struct settings_applied
{
    std::uint64_t digest = 0;
    auto operator<=>(const settings_applied&) const = default;
};

/// This instance is to stop.
struct leave_requested
{
    auto operator<=>(const leave_requested&) const = default;
};

/// Time has passed and nothing else happened.
struct tick
{
    auto operator<=>(const tick&) const = default;
};

using event = std::variant<heartbeat_received, news_received, buckets_received,
                           link_opened, link_closed, platform_listed,
                           settings_applied, leave_requested, tick>;

} // namespace oriolefall::membership

#endif
