#ifndef ORIOLEFALL_MEMBERSHIP_NEAR_INSTANCES_HPP
#define ORIOLEFALL_MEMBERSHIP_NEAR_INSTANCES_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

struct near_instances_settings
{
    /// With fewer near instances, more distant ones are added, so that a
    /// caller has an alternative when one fails.
    std::size_t min_count = 2;
    std::size_t max_count = 64;
};

/// All live instances of the caller's failure domain; if there are too few,
/// also those of its region, and then all others. Suspected instances are
/// returned only when no live one is known.
[[nodiscard]] std::vector<member>
near_instances(const core::location& caller, std::span<const member> members,
               const near_instances_settings& settings);

} // namespace oriolefall::membership

#endif
