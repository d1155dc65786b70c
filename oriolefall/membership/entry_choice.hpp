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

/// How many instances a caller is told of, and for how long.
struct entry_settings
{
    std::size_t addresses = 3;
    /// How long a caller may keep the answer; a leaving instance stays open
    /// at least as long.
    absl::Duration lifetime = absl::Seconds(30);
    std::strong_ordering operator<=>(const entry_settings&) const = default;
};

/// Who asks.
struct entry_query
{
    core::workspace_id workspace;
    core::region_name region;
    /// Splits a large workspace: callers with unlike shards are sent to unlike
    /// instances.
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

/// Chooses by rendezvous on the workspace and shard: instances of the caller's
/// region first, the second in another failure domain than the first where
/// there is one. Live instances only; suspected ones when there is no live
/// one at all; never one that is leaving or dead. Depends on nothing but its
/// arguments, so instances with equal tables answer alike.
[[nodiscard]] entry_choice choose_entry(const entry_query& query,
                                        std::span<const member> members,
                                        const entry_settings& settings);

} // namespace oriolefall::membership

#endif
