#include "stand_ins/service_server.hpp"

#include "stand_ins/connection.hpp"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace oriolefall::stand_ins {

namespace {

using nlohmann::json;

void change_from_json(service_faults& faults, const json& body)
{
    faults.refuse = body.value("refuse", faults.refuse);
    faults.drop_answer = body.value("drop_answer", faults.drop_answer);
    faults.delay_ms = body.value("delay_ms", faults.delay_ms);
}

} // namespace

service_server::service_server(std::string id, const host_settings& host,
                               std::uint32_t delay_ms)
    : id_(std::move(id)), ledger_(service_faults{.delay_ms = delay_ms}),
      host_(host, [this](httplib::Server& server) { add_routes(server); })
{
}

void service_server::add_routes(httplib::Server& server)
{
    server.Post("/faults", [this](const httplib::Request& request,
                                  httplib::Response& response) {
        set_faults(request, response);
    });
    server.Get("/stats",
               [this](const httplib::Request&, httplib::Response& response) {
                   give_stats(response);
               });
    const auto call = [this](const httplib::Request& request,
                             httplib::Response& response) {
        run(request, response);
    };
    server.Post("/.*", call);
    server.Get("/.*", call);
}

void service_server::run(const httplib::Request& request,
                         httplib::Response& response)
{
    const service_run result =
        ledger_.run(request.get_header_value("Idempotency-Key"));
    if (result.faults.refuse) {
        response.set_header("Retry-After", "1");
        return set_error(response, 503, "overloaded", "the call did not run");
    }
    // The work of the call itself; nothing is awaited.
    std::this_thread::sleep_for(
        std::chrono::milliseconds(result.faults.delay_ms));
    if (result.faults.drop_answer)
        connection::of(request).cut();
    const json body{{"id", id_ + "-" + std::to_string(result.id)},
                    {"path", request.path},
                    {"runs", result.runs}};
    response.set_content(body.dump(), "application/json");
}

void service_server::set_faults(const httplib::Request& request,
                                httplib::Response& response)
{
    try {
        const json change = json::parse(request.body);
        service_faults checked;
        change_from_json(checked, change);
        ledger_.change_faults([change](service_faults& faults) {
            change_from_json(faults, change);
        });
        response.set_content("{}", "application/json");
    } catch (const json::exception& error) {
        set_error(response, 400, "invalid_request_error", error.what());
    }
}

void service_server::give_stats(httplib::Response& response)
{
    const service_counts counts = ledger_.counts();
    const json body{{"calls", counts.calls}, {"by_key", counts.by_key}};
    response.set_content(body.dump(), "application/json");
}

} // namespace oriolefall::stand_ins
