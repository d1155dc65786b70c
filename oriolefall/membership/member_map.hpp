#ifndef ORIOLEFALL_MEMBERSHIP_MEMBER_MAP_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBER_MAP_HPP

#include "oriolefall/membership/member.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace oriolefall::membership {

/// Members by id, with digests of all of them. A value is stored only if it
/// supersedes the stored one, so merging in any order gives the same map. For
/// use by one thread at a time.
class member_map
{
public:
    /// `max_members`: further members are rejected.
    explicit member_map(std::size_t max_members);

    /// Returns the value that `received` replaced (empty for a new member), or
    /// nullopt when `received` was rejected. The death of an unknown member is
    /// rejected, so that it doesn't restore a member that was removed.
    std::optional<std::optional<member>> merge(absl::Time now,
                                               const member& received);
    /// Stores the fields that are carried by heartbeats and not by gossip.
    void record_heartbeat(const core::instance_id& id, std::uint64_t counter,
                          std::uint64_t settings_digest);
    /// Removes the members that died before `limit`, and returns their ids.
    std::vector<core::instance_id> remove_dead(absl::Time limit);
    /// Moves the times of all state changes forward by the time for which this
    /// instance was itself paused.
    void postpone_state_times(absl::Duration pause);

    [[nodiscard]] const member* find(const core::instance_id& id) const;
    /// Members that have been in `state` since before `limit`.
    [[nodiscard]] std::vector<member> in_state_since(member_state state,
                                                     absl::Time limit) const;
    /// All members, including the dead, sorted by id.
    [[nodiscard]] std::vector<member> all() const;
    [[nodiscard]] std::vector<member> in_bucket(std::size_t bucket) const;
    [[nodiscard]] const member_buckets& buckets() const;
    /// Digest of all buckets.
    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct record
    {
        member value;
        absl::Time state_since;
    };

    /// Adds a member to the digest of its bucket, or removes it (exclusive or).
    void toggle_in_digest(const member& value);

    std::size_t max_members_;
    std::map<core::instance_id, record> records_;
    member_buckets buckets_;
};

} // namespace oriolefall::membership

#endif
