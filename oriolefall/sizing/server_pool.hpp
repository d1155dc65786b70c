#ifndef ORIOLEFALL_SIZING_SERVER_POOL_HPP
#define ORIOLEFALL_SIZING_SERVER_POOL_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <compare>
#include <cstdint>
#include <map>

namespace oriolefall::sizing {

/// The servers of one kind of a service in a failure domain: what one order
/// sets the number of.
struct server_pool
{
    routing::service_name service;
    core::failure_domain_name failure_domain;
    bool is_spot = false;
    auto operator<=>(const server_pool&) const = default;
};

/// Number of servers by pool.
using pool_counts = std::map<server_pool, std::uint32_t>;

/// A server of an elastic service that the platform lists.
struct known_server
{
    routing::service_name service;
    core::location location;
    /// Number of calls that it runs concurrently.
    std::uint32_t slots = 1;
    bool is_spot = false;
    /// Takes no new calls.
    bool is_draining = false;
    auto operator<=>(const known_server&) const = default;
};

} // namespace oriolefall::sizing

#endif
