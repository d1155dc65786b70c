#ifndef ORIOLEFALL_ROUTER_ROUTER_SETTINGS_HPP
#define ORIOLEFALL_ROUTER_ROUTER_SETTINGS_HPP

#include "oriolefall/dispatch/dispatch_settings.hpp"
#include "oriolefall/follow/store_duty.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/peer/control_duty.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::router {

/// How one instance of the router runs.
struct router_settings
{
    core::instance_id instance;
    core::location location;
    /// Where it answers whether it is ready, and where callers are to connect.
    core::endpoint ready;
    core::endpoint directory;
    dispatch::dispatch_settings dispatch;
    forward::forward_settings forward;
    follow::store_duty_settings store;
    peer::control_settings control;
    /// Collections of the store.
    std::string settings_collection;
    /// The object of that collection that is in force.
    std::string settings_name;
    std::string servers_collection;
    std::string instances_collection;
    /// How long callers may keep the addresses that they are told.
    absl::Duration address_lifetime = absl::Seconds(1);
    /// From the order to stop to the end.
    absl::Duration grace = absl::Seconds(8);
};

/// A check whether this instance takes requests.
struct ready_question
{
};

/// A caller asks where to connect.
struct address_question
{
    core::location caller;
};

struct metrics_question
{
};

struct unknown_question
{
};

using question = std::variant<ready_question, address_question,
                              metrics_question, unknown_question>;

/// The encodings that an adapter brings.
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
    std::function<question(const std::string& target)> parse_question;
    std::function<std::string(const std::vector<core::endpoint>&,
                              absl::Duration lifetime)>
        print_addresses;
};

} // namespace oriolefall::router

#endif
