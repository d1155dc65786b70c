#ifndef ORIOLEFALL_TESTS_MEMBERSHIP_FLEET_HPP
#define ORIOLEFALL_TESTS_MEMBERSHIP_FLEET_HPP

#include "oriolefall/membership/member.hpp"

#include <string>
#include <vector>

namespace oriolefall::tests {

/// Creates `size` live instances, spread evenly over `regions` regions of
/// `domains` failure domains each.
inline std::vector<membership::member>
make_fleet(std::size_t size, std::size_t regions, std::size_t domains)
{
    std::vector<membership::member> fleet;
    for (std::size_t i = 0; i < size; ++i) {
        const std::string region = "region" + std::to_string(i % regions);
        const std::string domain =
            region + "-" + std::to_string(i / regions % domains);
        membership::member value;
        value.id = core::instance_id("instance" + std::to_string(i));
        value.incarnation = 1;
        value.caller_endpoint = {"127.0.0.1",
                                 static_cast<std::uint16_t>(1000 + i)};
        value.peer_endpoint = {"127.0.0.1",
                               static_cast<std::uint16_t>(2000 + i)};
        value.location = {core::region_name(region),
                          core::failure_domain_name(domain)};
        fleet.push_back(value);
    }
    return fleet;
}

} // namespace oriolefall::tests

#endif
