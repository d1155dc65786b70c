#ifndef ORIOLEFALL_CORE_BACKEND_SERVER_HPP
#define ORIOLEFALL_CORE_BACKEND_SERVER_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/service_class.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolefall::core {

/// IP address and port that a process listens on.
struct endpoint
{
    std::string address;
    std::uint16_t port = 0;
    auto operator<=>(const endpoint&) const = default;
};

/// Region and failure domain of an instance or backend server.
struct location
{
    region_name region;
    failure_domain_name failure_domain;
    auto operator<=>(const location&) const = default;
};

/// A model engine or plain service that requests are routed to.
struct backend_server
{
    backend_server_id id;
    core::endpoint endpoint;
    core::location location;
    call_kind kind = call_kind::generate;
    /// Models that an engine has loaded, or classes that a service answers.
    std::vector<std::string> serves;
    /// Number of calls that the server runs concurrently.
    std::uint32_t slots = 8;
    /// True if the server refuses commands with an outdated fencing number.
    bool checks_fencing = false;
    /// True if the server can continue a broken stream from a token index.
    bool resumes_streams = false;
    /// True if the server gets no new calls.
    bool leaving = false;
    auto operator<=>(const backend_server&) const = default;
};

} // namespace oriolefall::core

#endif
