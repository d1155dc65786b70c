#ifndef ORIOLEFALL_TESTS_MEMBERSHIP_FLEET_HPP
#define ORIOLEFALL_TESTS_MEMBERSHIP_FLEET_HPP

#include "oriolefall/membership/member.hpp"

#include <string>
#include <vector>

namespace oriolefall::tests {

/// `size` live instances over `regions` regions of `domains` failure domains.
inline std::vector<membership::member>
make_fleet(std::size_t size, std::size_t regions, std::size_t domains)
{
    std::vector<membership::member> fleet;
    for (std::size_t at = 0; at < size; ++at) {
        const std::string region = "region" + std::to_string(at % regions);
        const std::string domain =
            region + "-" + std::to_string(at / regions % domains);
        membership::member value;
        value.id = core::instance_id("instance" + std::to_string(at));
        value.incarnation = 1;
        value.callers = {"127.0.0.1", static_cast<std::uint16_t>(1000 + at)};
        value.peers = {"127.0.0.1", static_cast<std::uint16_t>(2000 + at)};
        value.location = {core::region_name(region),
                          core::failure_domain_name(domain)};
        fleet.push_back(value);
    }
    return fleet;
}

} // namespace oriolefall::tests

#endif
