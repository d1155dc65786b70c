#ifndef ORIOLEFALL_MEMBERSHIP_NEAR_INSTANCES_HPP
#define ORIOLEFALL_MEMBERSHIP_NEAR_INSTANCES_HPP

#include "oriolefall/membership/member.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace oriolefall::membership {

struct near_settings
{
    /// Farther instances are added up to this number, so that a caller has a
    /// choice when one fails.
    std::size_t at_least = 2;
    std::size_t at_most = 64;
};

/// All live instances of the caller's failure domain; with too few of them
/// those of its region, then all others. Suspected ones only when no live one
/// is known.
[[nodiscard]] std::vector<member>
near_instances(const core::location& caller, std::span<const member> members,
               const near_settings& settings);

} // namespace oriolefall::membership

#endif
