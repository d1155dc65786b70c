#ifndef ORIOLEFALL_SIZING_SIZE_TARGET_HPP
#define ORIOLEFALL_SIZING_SIZE_TARGET_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::sizing {

/// A failure domain that servers of a service can be ordered in.
struct domain_state
{
    core::failure_domain_name name;
    core::region_name region;
    /// Of an on-demand server, relative to other failure domains.
    double price = 1;
    /// Share of the region's demand.
    double demand_share = 0;
    /// Present numbers of servers.
    std::uint32_t on_demand = 0;
    std::uint32_t spot = 0;
    /// Numbers that can be ordered now.
    std::uint32_t on_demand_limit = 0;
    std::uint32_t spot_limit = 0;
    std::partial_ordering operator<=>(const domain_state&) const = default;
};

/// Servers that the callers of a region need.
struct region_need
{
    core::region_name region;
    double servers = 0;
    /// Of them, servers for the most urgent calls.
    double urgent_servers = 0;
    std::partial_ordering operator<=>(const region_need&) const = default;
};

struct target_input
{
    /// Bounds on the servers of both kinds in each failure domain.
    std::uint32_t min_servers = 0;
    std::uint32_t max_servers = 0;
    bool has_spot = false;
    /// Share of a region's need that is placed in the region.
    double local_share = 0.8;
    std::vector<domain_state> domains = {};
    std::vector<region_need> needs = {};
    std::partial_ordering operator<=>(const target_input&) const = default;
};

struct domain_target
{
    core::failure_domain_name name;
    std::uint32_t on_demand = 0;
    std::uint32_t spot = 0;
    auto operator<=>(const domain_target&) const = default;
};

/// How many servers of each kind each failure domain should have.
struct size_target
{
    std::vector<domain_target> domains;
    std::uint32_t needed = 0;
    /// On-demand servers that the urgent calls need.
    std::uint32_t urgent = 0;
    /// Parts of these two that no failure domain has room for.
    std::uint32_t unmet = 0;
    std::uint32_t unmet_urgent = 0;
    auto operator<=>(const size_target&) const = default;
};

/// Splits the need over failure domains and kinds. On-demand servers alone
/// cover the urgent calls, so that spot servers may leave at any time. The
/// upper bound holds where the bounds contradict each other. Thread-safe.
[[nodiscard]] size_target plan_target(const target_input& input);

} // namespace oriolefall::sizing

#endif
