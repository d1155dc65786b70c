#include "stand_ins/platform_server.hpp"

#include "stand_ins/connection.hpp"
#include "stand_ins/platform_codec.hpp"

#include <chrono>
#include <optional>
#include <utility>

namespace oriolefall::stand_ins {

namespace {

using reply_cell = core::bounded_ring<platform_reply>;

/// How often the connection of a waiting call is looked at.
constexpr std::chrono::milliseconds connection_check_interval{50};

void set_invalid(httplib::Response& response, const body_error& error)
{
    set_error(response, 400, "invalid_request_error", error.message);
}

/// Nothing when the caller has gone or the platform stops.
std::optional<platform_reply> await(reply_cell& cell,
                                    const httplib::Request& request)
{
    std::optional<connection> caller;
    while (true) {
        auto next = cell.pop_until(std::chrono::steady_clock::now() +
                                   connection_check_interval);
        if (auto* reply = std::get_if<platform_reply>(&next))
            return std::move(*reply);
        if (std::holds_alternative<core::ring_closed>(next))
            return std::nullopt;
        if (!caller)
            caller = connection::of(request);
        if (caller->is_closed())
            return std::nullopt;
    }
}

/// A reply place that is closed when it is dropped unused.
reply_sink sink_for(const std::shared_ptr<reply_cell>& cell)
{
    const std::shared_ptr<reply_cell> closing(
        cell.get(), [cell](reply_cell* ring) { ring->close(); });
    return [closing](platform_reply reply) {
        closing->try_push(std::move(reply));
    };
}

} // namespace

platform_server::platform_server(std::size_t history, const host_settings& host)
    : thread_(history),
      host_(host, [this](httplib::Server& server) { add_routes(server); })
{
}

void platform_server::add_routes(httplib::Server& server)
{
    add_object_routes(server);
    add_instance_routes(server);
    add_control_routes(server);
}

void platform_server::add_object_routes(httplib::Server& server)
{
    using httplib::Request;
    using httplib::Response;
    constexpr const char* objects = "/objects(/.*)";
    server.Get(objects, [this](const Request& request, Response& response) {
        handle(read_object{request.matches[1]}, request, response);
    });
    server.Put(objects, [this](const Request& request, Response& response) {
        parsed_write parsed = parse_write(request, request.matches[1]);
        if (auto* write = std::get_if<write_object>(&parsed))
            return handle(std::move(*write), request, response);
        if (const auto* error = std::get_if<body_error>(&parsed))
            return set_invalid(response, *error);
        set_error(response, 413, "too_large", "the value is too large");
    });
    server.Delete(objects, [this](const Request& request, Response& response) {
        handle(parse_erase(request, request.matches[1]), request, response);
    });
    server.Get("/list", [this](const Request& request, Response& response) {
        handle(list_objects{request.get_param_value("prefix")}, request,
               response);
    });
    server.Get("/watch", [this](const Request& request, Response& response) {
        handle(parse_watch(request), request, response);
    });
}

void platform_server::add_instance_routes(httplib::Server& server)
{
    using httplib::Request;
    using httplib::Response;
    constexpr const char* instance = "/instances/([^/]+)";
    server.Get("/instances",
               [this](const Request& request, Response& response) {
                   handle(list_instances{}, request, response);
               });
    server.Put(instance, [this](const Request& request, Response& response) {
        auto parsed = parse_instance(request.body, request.matches[1]);
        if (const auto* error = std::get_if<body_error>(&parsed))
            return set_invalid(response, *error);
        handle(std::get<tell_instance>(std::move(parsed)), request, response);
    });
    server.Delete(instance, [this](const Request& request, Response& response) {
        handle(remove_instance{request.matches[1]}, request, response);
    });
}

void platform_server::add_control_routes(httplib::Server& server)
{
    using httplib::Request;
    using httplib::Response;
    server.Post("/faults", [this](const Request& request, Response& response) {
        auto parsed = parse_platform_faults(request.body);
        if (const auto* error = std::get_if<body_error>(&parsed))
            return set_invalid(response, *error);
        const platform_report report = thread_.change_faults(
            std::get<platform_fault_change>(std::move(parsed)));
        response.set_content(to_json(report.faults).dump(), "application/json");
    });
    server.Get("/stats", [this](const Request&, Response& response) {
        const platform_report report = thread_.change_faults({});
        response.set_content(to_json(report.stats).dump(), "application/json");
    });
}

void platform_server::handle(platform_request what,
                             const httplib::Request& request,
                             httplib::Response& response)
{
    auto cell = std::make_shared<reply_cell>(1);
    thread_.send({std::move(what), sink_for(cell)});
    const std::optional<platform_reply> reply = await(*cell, request);
    if (!reply || std::holds_alternative<answer_lost>(*reply))
        connection::of(request).cut();
    else
        set_reply(response, *reply);
}

} // namespace oriolefall::stand_ins
