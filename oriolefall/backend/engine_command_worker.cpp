#include "oriolefall/backend/engine_command_worker.hpp"

#include "oriolefall/core/clock.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace oriolefall::backend {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

void set_timeouts(httplib::Client& client, absl::Duration timeout)
{
    client.set_connection_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_read_timeout(absl::ToChronoMicroseconds(timeout));
    client.set_write_timeout(absl::ToChronoMicroseconds(timeout));
}

command_result parse_result(const httplib::Result& result)
{
    if (result && result->status == status_conflict)
        return command_result::refused;
    if (!result || result->status != status_ok)
        return command_result::failed;
    const json body = json::parse(result->body, nullptr, false);
    if (!body.is_object())
        return command_result::failed;
    return body.value("state", "") == "loaded" ? command_result::loaded
                                               : command_result::loading;
}

/// Running and queued requests as the engine reported them, or nullopt.
std::optional<std::uint64_t> parse_load(const httplib::Result& result)
{
    if (!result || result->status != status_ok)
        return std::nullopt;
    const json body = json::parse(result->body, nullptr, false);
    const bool has_both = body.is_object() && body.contains("running") &&
                          body.contains("queued") &&
                          body["running"].is_number_unsigned() &&
                          body["queued"].is_number_unsigned();
    if (!has_both)
        return std::nullopt;
    return body["running"].get<std::uint64_t>() +
           body["queued"].get<std::uint64_t>();
}

} // namespace

engine_command_worker::engine_command_worker(std::size_t capacity,
                                             absl::Duration timeout)
    : timeout_(timeout), commands_(capacity),
      thread_("orders", [this] { run(); })
{
}

engine_command_worker::~engine_command_worker()
{
    commands_.close();
    while (commands_.size() > 0)
        static_cast<void>(commands_.pop());
    thread_.join();
}

bool engine_command_worker::submit(engine_command command)
{
    return commands_.try_push(std::move(command));
}

void engine_command_worker::run()
{
    while (const auto command = commands_.pop())
        std::visit([this](const auto& each) { execute(each); }, *command);
}

void engine_command_worker::execute(const load_model_command& command) const
{
    if (core::monotonic_now() >= command.send_before) {
        command.on_result(command_result::failed);
        return;
    }
    httplib::Client client(command.endpoint.address, command.endpoint.port);
    set_timeouts(client, timeout_);
    const json body{{"order", "load_model"},
                    {"model", command.model.value()},
                    {"fencing_number", command.fencing_number}};
    command.on_result(
        parse_result(client.Post("/orders", body.dump(), "application/json")));
}

void engine_command_worker::execute(const load_query& query) const
{
    httplib::Client client(query.endpoint.address, query.endpoint.port);
    set_timeouts(client, timeout_);
    if (const auto running = parse_load(client.Get("/load")))
        query.on_answer(*running);
}

} // namespace oriolefall::backend
