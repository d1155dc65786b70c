#ifndef ORIOLEFALL_MEMBERSHIP_MEMBER_MAP_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBER_MAP_HPP

#include "oriolefall/membership/member.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace oriolefall::membership {

/// Members by id with the digests of them all. Takes a value only if it
/// supersedes the one held, so merging in any order gives the same map.
/// One thread at a time.
class member_map
{
public:
    /// `max_members`: those beyond are not taken.
    explicit member_map(std::size_t max_members);

    /// The value that `news` replaced (empty for a new member); nothing when
    /// it was not taken. News of an unknown member's death is not taken, so
    /// that a forgotten one is not brought back by it.
    std::optional<std::optional<member>> merge(absl::Time now,
                                               const member& news);
    /// Notes figures that heartbeats carry and gossip does not.
    void note_heartbeat(const core::instance_id& id, std::uint64_t counter,
                        std::uint64_t settings_digest);
    /// Takes out those that died before `limit`, and returns them.
    std::vector<core::instance_id> forget_dead(absl::Time limit);
    /// Moves on the time since which states are held.
    void excuse(absl::Duration gap);

    [[nodiscard]] const member* find(const core::instance_id& id) const;
    /// Members that have been in `state` since before `limit`.
    [[nodiscard]] std::vector<member> held_since(member_state state,
                                                 absl::Time limit) const;
    /// All members, the dead included, sorted by id.
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
        absl::Time since;
    };

    /// Adds or takes away a member's part of its bucket (exclusive or).
    void flip(const member& value);

    std::size_t max_members_;
    std::map<core::instance_id, record> records_;
    member_buckets buckets_;
};

} // namespace oriolefall::membership

#endif
