#ifndef ORIOLEFALL_ROUTING_ROUTE_SETTINGS_HPP
#define ORIOLEFALL_ROUTING_ROUTE_SETTINGS_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::routing {

using service_name = core::strong_id<struct service_tag>;
using route_name = core::strong_id<struct route_tag>;

/// One service that a route sends to, with its share of the requests.
struct route_target
{
    routing::service_name service;
    /// Relative to the weights of the route's other targets.
    std::uint32_t weight = 1;
    auto operator<=>(const route_target&) const = default;
};

/// How requests of one host and path are handled.
struct route
{
    routing::route_name name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    std::vector<route_target> targets;
    /// The answer is a series of events that are passed on as they come.
    bool is_stream = false;
    /// A request may run more than once.
    bool is_idempotent = false;
    /// A stream that broke may go on at another backend server.
    bool resumable = false;
    /// Longest time from the arrival of a request to the end of its answer.
    absl::Duration time_limit = absl::InfiniteDuration();
    /// Time to the answer, or to the first event, that counts as on time.
    absl::Duration goal = absl::InfiniteDuration();
    /// Longest pause between two events that counts as on time.
    absl::Duration gap_goal = absl::InfiniteDuration();
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Backend servers that one request may be sent to at most.
    std::uint32_t max_servers = 1;
    /// No API key is asked for.
    bool is_public = false;
    std::strong_ordering operator<=>(const route&) const = default;
};

/// What a model engine of a service has.
struct engine_shape
{
    /// Requests that it runs at once.
    std::uint32_t slots = 0;
    /// Tokens that its memory holds.
    std::uint64_t memory_tokens = 0;
    /// Tokens in one event of a stream.
    std::uint32_t tokens_per_event = 1;
    auto operator<=>(const engine_shape&) const = default;
};

struct service
{
    service_name name;
    std::string health_path;
    /// Connections that one backend server takes from all callers together;
    /// 0 for no limit.
    std::uint32_t connection_limit = 0;
    /// Set for services of model engines.
    std::optional<engine_shape> engine;
    auto operator<=>(const service&) const = default;
};

/// Bounds of what callers may send.
struct caller_limits
{
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    /// Time for the head of a request, from its first byte.
    absl::Duration head_time = absl::Seconds(3);
    /// Time that a connection may stay without a request.
    absl::Duration idle_time = absl::Seconds(15);
    std::strong_ordering operator<=>(const caller_limits&) const = default;
};

/// A workspace and the API keys that open it.
struct workspace
{
    core::workspace_id name;
    std::vector<std::string> api_keys;
    /// Goes before the priority of the route.
    std::optional<std::uint32_t> priority;
    auto operator<=>(const workspace&) const = default;
};

/// All that is in force for callers, as one version.
struct route_settings
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// Empty: no key is asked for.
    std::vector<workspace> workspaces;
    std::strong_ordering operator<=>(const route_settings&) const = default;
};

} // namespace oriolefall::routing

#endif
