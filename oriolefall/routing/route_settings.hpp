#ifndef ORIOLEFALL_ROUTING_ROUTE_SETTINGS_HPP
#define ORIOLEFALL_ROUTING_ROUTE_SETTINGS_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::routing {

using service_name = core::strong_id<struct service_tag>;
using route_name = core::strong_id<struct route_tag>;

/// A service that a route sends requests to, and its weight.
struct route_target
{
    routing::service_name service;
    /// Share of the requests, relative to the weights of the route's other
    /// targets.
    std::uint32_t weight = 1;
    auto operator<=>(const route_target&) const = default;
};

/// How requests with one host and path prefix are handled.
struct route
{
    routing::route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    std::vector<route_target> targets;
    /// The answer is a stream of events that are forwarded as they arrive.
    bool is_stream = false;
    /// A request may run more than once.
    bool is_idempotent = false;
    /// A broken stream may be resumed at another backend server.
    bool is_resumable = false;
    /// Maximum time from the arrival of a request to the end of its answer.
    absl::Duration request_timeout = absl::InfiniteDuration();
    /// Target for the time to the answer or to the first event.
    absl::Duration latency_target = absl::InfiniteDuration();
    /// Target for the longest time between two events.
    absl::Duration gap_target = absl::InfiniteDuration();
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of backend servers that one request may be sent to.
    std::uint32_t max_servers = 1;
    /// No API key is required.
    bool is_public = false;
    std::strong_ordering operator<=>(const route&) const = default;
};

/// Capacity and stream format of the model engines of a service.
struct engine_capacity
{
    /// Number of requests that an engine runs concurrently.
    std::uint32_t slots = 0;
    /// Size of the KV cache in tokens.
    std::uint64_t kv_cache_tokens = 0;
    /// Number of tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    auto operator<=>(const engine_capacity&) const = default;
};

/// Bounds and prices of a service whose servers are ordered from the provider.
struct elastic_capacity
{
    /// Bounds on the servers in each failure domain.
    std::uint32_t min_servers = 0;
    std::uint32_t max_servers = 0;
    /// Time from an order until a server takes calls.
    absl::Duration startup_time = absl::ZeroDuration();
    /// Price of a spot server relative to others; 0 if there are none.
    double spot_price = 0;
    /// Price of a server by failure domain; 1 where none is given.
    std::map<core::failure_domain_name, double> prices;
    std::partial_ordering operator<=>(const elastic_capacity&) const = default;
};

/// A group of interchangeable backend servers.
struct service
{
    service_name name;
    std::string health_path;
    /// Maximum number of connections to one backend server from all instances
    /// together; 0 means no limit.
    std::uint32_t connection_limit = 0;
    /// Set if the backend servers are model engines.
    std::optional<engine_capacity> engine;
    /// Set if the number of servers is ordered from the provider.
    std::optional<elastic_capacity> elastic = std::nullopt;
    std::partial_ordering operator<=>(const service&) const = default;
};

/// Limits for the connections and requests of callers.
struct caller_limits
{
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 4194304;
    /// Maximum time to receive the header of a request, from its first byte.
    absl::Duration header_timeout = absl::Seconds(3);
    /// Maximum time that a connection may stay open without a request.
    absl::Duration idle_timeout = absl::Seconds(15);
    std::strong_ordering operator<=>(const caller_limits&) const = default;
};

/// A workspace and its API keys.
struct workspace
{
    core::workspace_id name;
    std::vector<std::string> api_keys;
    /// Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    auto operator<=>(const workspace&) const = default;
};

/// One version of the settings for routes, services, callers and workspaces.
struct route_settings
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// If empty, no route requires an API key.
    std::vector<workspace> workspaces;
    std::partial_ordering operator<=>(const route_settings&) const = default;
};

} // namespace oriolefall::routing

#endif
