#ifndef ORIOLEFALL_FOLLOW_VIEW_RELAY_HPP
#define ORIOLEFALL_FOLLOW_VIEW_RELAY_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/follow/collection_follower.hpp"
#include "oriolefall/follow/view_message.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::follow {

/// The role that fits the known members of the fleet.
struct relay_assignment
{
    relay_role role = relay_role::follower;
    /// The other instances to query.
    std::vector<core::instance_id> watchers;
    std::strong_ordering operator<=>(const relay_assignment&) const = default;
};

struct relay_settings
{
    /// Time between two queries. They go to the watchers in turn, so that one
    /// that lags or is cut from the store does not hold back the others.
    absl::Duration query_interval = absl::Milliseconds(500);
    /// Time for which a role must be assigned before it is taken on: members
    /// are found one after the other, and handing over must not leave a gap.
    absl::Duration role_delay = absl::Milliseconds(1200);
    absl::Duration independent_role_delay = absl::Milliseconds(400);
    /// Limit on the values in one answer. An instance that lacks more reads the
    /// store.
    std::size_t max_update_bytes = std::size_t{1536} * 1024;
    std::strong_ordering operator<=>(const relay_settings&) const = default;
};

/// Keeps the followed collections of an instance current by queries to the
/// instances that watch the store, and answers such queries. A state machine
/// without I/O or clock. An answer is as old as its sender says plus the time
/// since the query was sent, so that a delayed one never looks fresh. Not
/// thread-safe.
class view_relay
{
public:
    using named_followers = std::map<std::string, collection_follower*>;

    view_relay(relay_settings settings, relay_role initial_role,
               named_followers followers);

    void assign(absl::Time now, relay_assignment assignment);
    /// Takes on the assigned role when it is due. Returns whether the role
    /// changed.
    bool update_role(absl::Time now);
    /// The role in force.
    [[nodiscard]] relay_role role() const;

    /// The query to send now and its receiver; empty receiver if none is due.
    [[nodiscard]] std::pair<core::instance_id, view_query>
    next_query(absl::Time now);
    [[nodiscard]] view_update answer(absl::Time now,
                                     const view_query& query) const;
    /// Processes an answer. Returns the names of the collections that changed.
    std::vector<std::string> on_update(absl::Time now,
                                       const view_update& update);

private:
    relay_settings settings_;
    named_followers followers_;
    relay_assignment assigned_;
    absl::Time assigned_at_ = absl::InfiniteFuture();
    relay_role role_;
    std::uint64_t next_query_id_ = 1;
    std::size_t next_watcher_ = 0;
    absl::Time next_query_at_ = absl::InfinitePast();
    /// When the latest queries were sent, by id.
    std::map<std::uint64_t, absl::Time> sent_at_;
};

} // namespace oriolefall::follow

#endif
