#ifndef ORIOLEFALL_BENCH_FLEET_PLACE_HPP
#define ORIOLEFALL_BENCH_FLEET_PLACE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"

#include <string>

namespace oriolefall::bench {

/// The name of an instance of a measured fleet.
[[nodiscard]] inline core::instance_id instance_name(std::size_t number)
{
    return core::instance_id("instance" + std::to_string(number));
}

/// Spreads instances evenly over regions, then over failure domains.
[[nodiscard]] inline core::location place_of(std::size_t number,
                                             std::size_t regions,
                                             std::size_t domains_per_region)
{
    const std::string region = "region" + std::to_string(number % regions);
    const std::size_t domain = number / regions % domains_per_region;
    return {core::region_name(region),
            core::failure_domain_name(region + "-" + std::to_string(domain))};
}

} // namespace oriolefall::bench

#endif
