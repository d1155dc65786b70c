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

/// What is believed of an instance. Within one incarnation a later value
/// replaces an earlier one, never the other way round.
enum class member_state : std::uint8_t
{
    live,    ///< heard of and not known to stop
    suspect, ///< silent towards an instance that listens for it
    leaving, ///< said that it will stop; takes no new callers
    dead     ///< silent for too long; kept for a while as a tombstone
};

inline constexpr std::array<member_state, 4> all_member_states{
    member_state::live, member_state::suspect, member_state::leaving,
    member_state::dead};

/// The name used in logs, metrics and `status`.
[[nodiscard]] std::string_view to_string(member_state value);

/// One instance of the fleet as another one knows it.
struct member
{
    core::instance_id id;
    /// Raised by the instance itself only: at each start, and to contradict
    /// others that believe it suspect or dead. 0: known from the platform's
    /// list alone.
    std::uint64_t incarnation = 0;
    member_state state = member_state::live;
    /// Where it listens for callers.
    core::endpoint callers;
    /// Where it listens for other instances.
    core::endpoint peers;
    core::location location;
    /// Heartbeats that it has sent; known for linked instances only.
    std::uint64_t heartbeat = 0;
    /// Digest of its settings in force; known for linked instances only.
    std::uint64_t settings_digest = 0;
    auto operator<=>(const member&) const = default;
};

/// Compact digests of a member table; equal tables give equal ones.
struct member_buckets
{
    static constexpr std::size_t count = 16;
    std::array<std::uint64_t, count> digests{};
    auto operator<=>(const member_buckets&) const = default;
};

/// True when `news` replaces `held`: a higher incarnation, or a later state
/// of the same one. Being a total order on (incarnation, state), it makes the
/// merge of tables commutative, associative and idempotent. Precedence as in
/// SWIM (Das, Gupta, Motivala, DSN 2002), extended by `leaving`.
[[nodiscard]] bool supersedes(const member& news, const member& held);

/// True for instances that take part in gossip: all but the dead.
[[nodiscard]] bool takes_part(const member& value);

/// True for those that take part and are known by more than the platform's
/// list.
[[nodiscard]] bool was_heard(const member& value);

/// Digest of what is gossiped of a member; 0 for the dead.
[[nodiscard]] std::uint64_t digest_of(const member& value);

/// The bucket of `member_buckets` that an instance belongs to.
[[nodiscard]] std::size_t bucket_of(const core::instance_id& id);

} // namespace oriolefall::membership

#endif
