#include "oriolefall/backend/engine_command_worker.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/http_call/bounded_call.hpp"
#include "oriolefall/json_text/json_text.hpp"
#include "oriolefall/json_text/value_slices.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>
#include <utility>

namespace oriolefall::backend {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;
constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024;

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
    const auto body = json_text::parse(result->body);
    if (!body || !body->is_object())
        return command_result::failed;
    const auto state = body->find("state");
    return state != body->end() && *state == "loaded" ? command_result::loaded
                                                      : command_result::loading;
}

/// Running and queued requests as the engine reported them, or nullopt.
std::optional<std::uint64_t> parse_load(const httplib::Result& result)
{
    if (!result || result->status != status_ok)
        return std::nullopt;
    const auto number = [&result](std::string_view key) {
        const auto text = json_text::member(result->body, key);
        return json_text::parse_unsigned(text.value_or(""));
    };
    const auto running = number("running");
    const auto queued = number("queued");
    if (!running || !queued)
        return std::nullopt;
    return *running + *queued;
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
    command.on_result(parse_result(http_call::send_bounded(
        client,
        http_call::make_request("POST", "/orders", {}, json_text::print(body)),
        max_answer_bytes)));
}

void engine_command_worker::execute(const load_query& query) const
{
    httplib::Client client(query.endpoint.address, query.endpoint.port);
    set_timeouts(client, timeout_);
    if (const auto running = parse_load(http_call::send_bounded(
            client, http_call::make_request("GET", "/load"), max_answer_bytes)))
        query.on_answer(*running);
}

} // namespace oriolefall::backend
