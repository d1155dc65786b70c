#include "stand_ins/engine_server.hpp"

#include "stand_ins/answer_stream.hpp"

#include <utility>

namespace oriolefall::stand_ins {

namespace {

/// Events of an answer that are not tokens: taken and ended.
constexpr std::size_t events_beside_tokens = 3;

void set_json(httplib::Response& response, const nlohmann::json& body)
{
    response.set_content(body.dump(), "application/json");
}

void set_invalid(httplib::Response& response, const body_error& error)
{
    set_error(response, 400, "invalid_request_error", error.message);
}

void set_stopping(httplib::Response& response)
{
    set_error(response, 503, "stopping", "the engine is stopping");
}

void set_refused(httplib::Response& response, const stream_refused& refused)
{
    set_load_headers(response, refused.load);
    if (refused.unknown_model) {
        set_error(response, 404, "model_not_found", "the model is not loaded");
        return;
    }
    response.set_header("Retry-After", "1");
    set_error(response, 503, "overloaded", "no room in the queue");
}

std::string_view name_of(order_result result)
{
    switch (result) {
    case order_result::loading:
        return "loading";
    case order_result::loaded:
        return "loaded";
    case order_result::unloaded:
        return "unloaded";
    case order_result::fenced:
        break;
    }
    return "fenced";
}

/// Adds a path that answers a question to the scheduler with JSON.
template <class T, class Command>
void add_question(httplib::Server& server, const char* path,
                  engine_scheduler& scheduler)
{
    server.Get(path, [&scheduler](const httplib::Request&,
                                  httplib::Response& response) {
        const auto reply = scheduler.ask<T>(
            [](const reply_ring<T>& ring) { return Command{ring}; });
        if (!reply)
            return set_stopping(response);
        set_json(response, to_json(*reply));
    });
}

} // namespace

engine_server::engine_server(const engine_settings& settings,
                             const host_settings& host)
    : scheduler_(settings),
      host_(host, [this](httplib::Server& server) { add_routes(server); })
{
}

void engine_server::add_routes(httplib::Server& server)
{
    const auto to = [this](auto member) {
        return [this, member](const httplib::Request& request,
                              httplib::Response& response) {
            (this->*member)(request, response);
        };
    };
    server.Post("/v1/chat/completions", to(&engine_server::complete));
    server.Post("/orders", to(&engine_server::give_order));
    server.Post("/faults", to(&engine_server::set_faults));
    add_question<model_list, ask_models>(server, "/models", scheduler_);
    add_question<engine_load, ask_load>(server, "/load", scheduler_);
    add_question<engine_stats, ask_stats>(server, "/stats", scheduler_);
}

void engine_server::complete(const httplib::Request& request,
                             httplib::Response& response)
{
    auto parsed = parse_generation(request);
    if (const auto* error = std::get_if<body_error>(&parsed))
        return set_invalid(response, *error);
    auto& generation = std::get<generation_request>(parsed);
    generation.order.id = ++last_id_;
    auto events = std::make_shared<stream_ring>(generation.order.length +
                                                events_beside_tokens);
    const stream_sink sink = [events](const stream_event& event) {
        events->try_push(event);
    };
    if (!scheduler_.send(submit_stream{generation.order, sink}))
        return set_stopping(response);
    const auto first = events->pop();
    if (const auto* refused = std::get_if<stream_refused>(&*first))
        return set_refused(response, *refused);
    set_load_headers(response, std::get<stream_accepted>(*first).load);
    begin_answer(generation, events, response);
}

void engine_server::begin_answer(const generation_request& request,
                                 const std::shared_ptr<stream_ring>& events,
                                 httplib::Response& response)
{
    const auto stream = std::make_shared<answer_stream>(request, events);
    response.set_chunked_content_provider(
        request.stream ? "text/event-stream" : "application/json",
        [stream](std::size_t /*offset*/, httplib::DataSink& sink) {
            return stream->write_next(sink);
        },
        [this, stream, id = request.order.id](bool /*success*/) {
            if (!stream->ended())
                scheduler_.send(cancel_stream{id});
        });
}

void engine_server::give_order(const httplib::Request& request,
                               httplib::Response& response)
{
    const auto parsed = parse_order(request.body);
    if (const auto* error = std::get_if<body_error>(&parsed))
        return set_invalid(response, *error);
    const auto& order = std::get<model_order>(parsed);
    const auto result = scheduler_.ask<order_result>(
        [&](const reply_ring<order_result>& reply) {
            return ask_order{order, reply};
        });
    if (!result)
        return set_stopping(response);
    if (*result == order_result::fenced)
        return set_error(response, 409, "fenced", "the fencing number is old");
    set_json(response, {{"state", name_of(*result)}});
}

void engine_server::set_faults(const httplib::Request& request,
                               httplib::Response& response)
{
    const auto parsed = parse_engine_faults(request.body);
    if (const auto* error = std::get_if<body_error>(&parsed))
        return set_invalid(response, *error);
    const auto& change = std::get<fault_change>(parsed);
    const auto faults = scheduler_.ask<engine_faults>(
        [&](const reply_ring<engine_faults>& reply) {
            return change_faults{change, reply};
        });
    if (!faults)
        return set_stopping(response);
    set_json(response, to_json(*faults));
}

} // namespace oriolefall::stand_ins
