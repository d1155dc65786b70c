#ifndef ORIOLEFALL_MEMBERSHIP_ENTRY_CHOICE_HPP
#define ORIOLEFALL_MEMBERSHIP_ENTRY_CHOICE_HPP

#include "oriolefall/membership/member.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace oriolefall::membership {

/// How many instances a caller is given, and for how long.
struct entry_settings
{
    std::size_t addresses = 3;
    /// How long a caller may cache the answer; a leaving instance stays open
    /// at least as long.
    absl::Duration lifetime = absl::Seconds(30);
    std::strong_ordering operator<=>(const entry_settings&) const = default;
};

/// The caller for which instances are chosen.
struct entry_query
{
    core::workspace_id workspace;
    core::region_name region;
    /// Splits a large workspace: callers with different shards are sent to
    /// different instances.
    std::uint32_t shard = 0;
    auto operator<=>(const entry_query&) const = default;
};

/// Instances that a caller may use, best first.
struct entry_choice
{
    std::vector<member> members;
    absl::Duration lifetime = absl::ZeroDuration();
    std::strong_ordering operator<=>(const entry_choice&) const = default;
};

/// Ranks instances by rendezvous hashing of the workspace and shard. Instances
/// of the caller's region come first; the second one is in another failure
/// domain than the first if the region has one. Only live instances are
/// chosen, or suspected ones when no instance is live; never a leaving or dead
/// one. The result depends on nothing but the arguments, so instances with
/// equal tables give the same answer.
[[nodiscard]] entry_choice choose_entry(const entry_query& query,
                                        std::span<const member> members,
                                        const entry_settings& settings);

} // namespace oriolefall::membership

#endif
