#ifndef ORIOLEFALL_CORE_BACKEND_SERVER_HPP
#define ORIOLEFALL_CORE_BACKEND_SERVER_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/service_class.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolefall::core {

/// Where a process listens: an IP number and a port.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// A place in the fleet.
struct location
{
    region_name region;
    failure_domain_name failure_domain;
    auto operator<=>(const location&) const = default;
};

/// One model engine or plain service that the system routes to.
struct backend_server
{
    backend_server_id id;
    core::endpoint endpoint;
    core::location location;
    call_kind kind = call_kind::generate;
    /// Models that an engine has loaded, or classes that a service answers.
    std::vector<std::string> serves;
    /// Calls that it runs at once.
    std::uint32_t slots = 8;
    /// True: it refuses an order with an old fencing number.
    bool checks_fencing = false;
    /// True: it can continue a broken stream from a token index.
    bool resumes_streams = false;
    /// True: it gets no new work.
    bool leaving = false;
    auto operator<=>(const backend_server&) const = default;
};

} // namespace oriolefall::core

#endif
