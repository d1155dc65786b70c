#ifndef ORIOLEFALL_MEMBERSHIP_MEMBER_HPP
#define ORIOLEFALL_MEMBERSHIP_MEMBER_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace oriolefall::membership {

/// What is believed of an instance. Within one incarnation a value is replaced
/// only by one that stands after it in this list.
enum class member_state : std::uint8_t
{
    live,    ///< known and not about to stop
    suspect, ///< a peer that monitors it received no message in time
    leaving, ///< announced that it will stop; accepts no new callers
    dead     ///< did not refute a suspicion in time; retained as a tombstone
};

inline constexpr std::array<member_state, 4> all_member_states{
    member_state::live, member_state::suspect, member_state::leaving,
    member_state::dead};

/// The name used in logs, metrics and `status`.
[[nodiscard]] std::string_view to_string(member_state value);

/// An instance of the fleet as another instance knows it.
struct member
{
    core::instance_id id;
    /// Raised only by the instance itself: at each start, and to refute others
    /// that believe it suspect or dead. 0: known only from the platform's list.
    std::uint64_t incarnation = 0;
    member_state state = member_state::live;
    /// Where it listens for callers.
    core::endpoint caller_endpoint;
    /// Where it listens for other instances.
    core::endpoint peer_endpoint;
    core::location location;
    /// Number of heartbeats that it has sent; known for linked instances only.
    std::uint64_t heartbeat = 0;
    /// Digest of its settings in force; known for linked instances only.
    std::uint64_t settings_digest = 0;
    auto operator<=>(const member&) const = default;
};

/// Digests of a member table split into buckets; equal tables have equal
/// digests.
struct member_buckets
{
    static constexpr std::size_t count = 16;
    std::array<std::uint64_t, count> digests{};
    auto operator<=>(const member_buckets&) const = default;
};

/// True when `received` replaces `known`: it has a higher incarnation, or a
/// later state of the same incarnation. This is a total order on (incarnation,
/// state), which makes the merge of tables commutative, associative and
/// idempotent. Precedence as in SWIM (Das, Gupta, Motivala, DSN 2002),
/// extended by `leaving`.
[[nodiscard]] bool supersedes(const member& received, const member& known);

/// True for all instances except the dead.
[[nodiscard]] bool participates_in_gossip(const member& value);

/// True for instances that participate in gossip and are known from more than
/// the platform's list.
[[nodiscard]] bool is_known_by_gossip(const member& value);

/// Digest of the gossiped fields of a member; 0 for the dead.
[[nodiscard]] std::uint64_t digest_of(const member& value);

/// The bucket of `member_buckets` that an instance belongs to.
[[nodiscard]] std::size_t bucket_of(const core::instance_id& id);

} // namespace oriolefall::membership

#endif
