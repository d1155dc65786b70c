#ifndef ORIOLEFALL_ROUTER_ROUTER_SETTINGS_HPP
#define ORIOLEFALL_ROUTER_ROUTER_SETTINGS_HPP

#include "oriolefall/dispatch/dispatch_settings.hpp"
#include "oriolefall/duties/planner.hpp"
#include "oriolefall/follow/store_duty.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/peer/control_duty.hpp"
#include "oriolefall/routing/route_settings.hpp"
#include "oriolefall/singleton/duty_protocol.hpp"
#include "oriolefall/singleton/singleton_settings.hpp"
#include "oriolefall/usage/usage_settings.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::router {

/// Settings of one instance of the router.
struct router_settings
{
    core::instance_id instance;
    core::location location;
    /// Listening address for readiness checks.
    core::endpoint readiness_endpoint;
    /// Listening address for queries of the addresses to connect to.
    core::endpoint directory_endpoint;
    dispatch::dispatch_settings dispatch;
    forward::forward_settings forward;
    follow::store_duty_settings store;
    peer::control_settings control;
    /// Set if requests are counted and reported to the provider.
    std::optional<usage::usage_settings> usage;
    /// Store collection with the settings.
    std::string settings_collection;
    /// Object in `settings_collection` with the active settings.
    std::string settings_name;
    std::string servers_collection;
    std::string instances_collection;
    /// Time for which callers may cache the addresses that they received.
    absl::Duration address_lifetime = absl::Seconds(1);
    /// Maximum time from the stop signal to the exit of the process.
    absl::Duration shutdown_timeout = absl::Seconds(8);
    /// Set if there are duties that one instance at a time performs.
    std::optional<singleton::singleton_settings> singleton;
    /// The number of servers of elastic services is one of these duties.
    bool sizes_services = false;
};

/// Readiness check: whether this instance accepts requests.
struct readiness_request
{
};

/// Query by a caller for the addresses to connect to.
struct address_request
{
    core::location caller;
};

struct metrics_request
{
};

struct unknown_request
{
};

using page_request = std::variant<readiness_request, address_request,
                                  metrics_request, unknown_request>;

/// Parsers and serializers of an adapter, for the formats on the wire and in
/// the store.
struct router_hooks
{
    forward::protocol_hooks requests;
    follow::store_protocol store;
    std::function<std::optional<routing::route_settings>(const std::string&)>
        parse_routes;
    std::function<std::optional<dispatch::server_entry>(
        const follow::stored_object&)>
        parse_server;
    std::function<std::optional<membership::member>(
        const follow::stored_object&)>
        parse_member;
    std::function<std::string(const membership::member&)> print_member;
    std::function<page_request(const std::string& target)> parse_page_request;
    std::function<std::string(const std::vector<core::endpoint>&,
                              absl::Duration address_lifetime)>
        print_addresses;
    /// Used if the settings name duties of one instance at a time.
    singleton::duty_protocol duty_calls;
};

} // namespace oriolefall::router

#endif
