#include "oriolefall/front/routes.hpp"

#include "oriolefall/front/chat_answer.hpp"
#include "oriolefall/front/chat_codec.hpp"
#include "oriolefall/front/entry_codec.hpp"
#include "oriolefall/front/error_reply.hpp"
#include "oriolefall/front/http_reply.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <httplib.h>
#include <string_view>
#include <utility>

namespace oriolefall::front {

namespace {

constexpr const char* workspace_header = "X-Workspace";
constexpr const char* class_header = "X-Service-Class";
constexpr const char* request_id_header = "X-Request-Id";
constexpr const char* idempotency_key_header = "Idempotency-Key";
constexpr const char* metrics_content_type = "text/plain; version=0.0.4";
constexpr const char* text_content_type = "text/plain";
constexpr const char* engine_path = "/v1/chat/completions";
constexpr int payload_too_large = 413;
constexpr int service_unavailable = 503;
/// Maximum length of the name of a workspace or class, of a key and of a
/// content type, in bytes.
constexpr std::size_t max_name_bytes = 256;

bool is_operator_path(std::string_view path)
{
    constexpr std::array<std::string_view, 4> paths{"/metrics", "/healthz",
                                                    "/readyz", "/v1/status"};
    return std::ranges::find(paths, path) != paths.end() ||
           path.starts_with("/v1/explain/");
}

/// Returns a hook that checks the caller's connection. It calls the progress
/// callback that http_protocol sets on each request.
connection_check connection_check_of(const httplib::Request& request)
{
    return [&request] { return request.progress(0, 0); };
}

bool has_control_character(std::string_view text)
{
    return std::ranges::any_of(text, [](char character) {
        return absl::ascii_iscntrl(static_cast<unsigned char>(character));
    });
}

/// True when a header's value can be sent to a backend server as a header. The
/// library percent-decodes header values, so they may contain any byte.
bool is_valid_name(std::string_view text)
{
    return text.size() <= max_name_bytes && !has_control_character(text);
}

std::optional<core::idempotency_key>
parse_idempotency_key(const httplib::Request& request)
{
    const std::string value = request.get_header_value(idempotency_key_header);
    return value.empty() ? std::nullopt
                         : std::optional(core::idempotency_key(value));
}

/// Reads the headers that chat and service requests have in common.
std::variant<core::request, refusal>
parse_headers(const httplib::Request& request)
{
    core::request parsed;
    parsed.workspace =
        core::workspace_id(request.get_header_value(workspace_header));
    if (parsed.workspace.value().empty())
        return refusal{core::reason::unauthorized,
                       "the header X-Workspace is missing"};
    parsed.key = parse_idempotency_key(request);
    const std::string key = parsed.key ? parsed.key->value() : "";
    const bool is_valid = is_valid_name(parsed.workspace.value()) &&
                          is_valid_name(key) &&
                          is_valid_name(request.get_header_value(class_header));
    if (!is_valid)
        return refusal{core::reason::invalid_request,
                       "X-Workspace, X-Service-Class or Idempotency-Key is "
                       "too long or has a control character"};
    parsed.body_bytes = static_cast<std::uint32_t>(request.body.size());
    return parsed;
}

refusal unknown_class(const core::class_name& name)
{
    return {core::reason::unknown_class,
            "there is no such service class: \"" + name.value() + "\""};
}

} // namespace

routes::routes(const front_settings& settings, handlers handlers)
    : settings_(settings), handlers_(std::move(handlers))
{
}

void routes::install(httplib::Server& http) const
{
    using httplib::Request;
    using httplib::Response;
    http.Post("/v1/chat/completions",
              [this](const Request& request, Response& response) {
                  answer_chat(request, response);
              });
    http.Post("/v1/services/([^/]+)(/.*)?",
              [this](const Request& request, Response& response) {
                  answer_service(request, response);
              });
    http.Get("/v1/models", [this](const Request&, Response& response) {
        response.set_content(encode_models(handlers_.models()),
                             json_content_type);
    });
    http.Get("/v1/entry", [this](const Request& request, Response& response) {
        answer_entry(request, response);
    });
    install_error_handler(http);
    install_operator_paths(http);
}

void routes::install_overflow(httplib::Server& http) const
{
    using httplib::Request;
    using httplib::Response;
    using handler_result = httplib::Server::HandlerResponse;
    install_error_handler(http);
    install_operator_paths(http);
    http.set_pre_routing_handler(
        [this](const Request& request, Response& response) {
            if (is_operator_path(request.path))
                return handler_result::Unhandled;
            const bool has_key = request.has_header(idempotency_key_header);
            refuse({core::reason::connection_limit, {}, has_key}, response);
            return handler_result::Handled;
        });
}

error_reply routes::record_refusal(const refusal& refusal) const
{
    handlers_.count_refusal(refusal.reason);
    return make_refusal_reply(refusal);
}

void routes::install_error_handler(httplib::Server& http) const
{
    using httplib::Request;
    using httplib::Response;
    http.set_error_handler([this](const Request&, Response& response) {
        if (!response.body.empty() || response.status == caller_gone_status)
            return;
        const int status = response.status;
        set_reply(record_refusal({core::reason::invalid_request, {}}),
                  response);
        response.status = status;
    });
}

void routes::install_operator_paths(httplib::Server& http) const
{
    using httplib::Request;
    using httplib::Response;
    http.Get("/metrics", [this](const Request&, Response& response) {
        response.set_content(handlers_.metrics(), metrics_content_type);
    });
    http.Get("/healthz", [](const Request&, Response& response) {
        response.set_content("ok\n", text_content_type);
    });
    http.Get("/readyz", [this](const Request&, Response& response) {
        answer_ready(response);
    });
    http.Get("/v1/status", [this](const Request&, Response& response) {
        response.set_content(handlers_.status(), json_content_type);
    });
    http.Get("/v1/explain/([0-9]+)",
             [this](const Request& request, Response& response) {
                 answer_explain(request, response);
             });
}

void routes::answer_chat(const httplib::Request& request,
                         httplib::Response& response) const
{
    if (request.body.size() > settings_.max_body_bytes)
        return refuse_large_body(response);
    auto decoded = parse_chat_request(request.body);
    if (const auto* error = std::get_if<codec_error>(&decoded))
        return refuse({core::reason::invalid_request, error->message},
                      response);
    auto& chat = std::get<chat_request>(decoded);
    const auto parsed = parse_chat(request, chat);
    if (const auto* refused = std::get_if<refusal>(&parsed))
        return refuse(*refused, response);
    const auto& accepted = std::get<core::request>(parsed);
    response.set_header(request_id_header, std::to_string(accepted.id.value()));
    auto submitted = submit(
        accepted, {.path = engine_path, .body = std::move(chat.engine_body)});
    if (const auto* refused = std::get_if<refusal>(&submitted))
        return refuse(*refused, response);
    auto& reader = std::get<answer_reader>(submitted);
    completion_metadata metadata{accepted.id, chat.model,
                                 absl::ToUnixSeconds(absl::Now())};
    const connection_check is_connected = connection_check_of(request);
    if (chat.stream)
        answer_with_events(std::move(reader), std::move(metadata), is_connected,
                           response);
    else
        answer_with_completion(std::move(reader), metadata, chat.prompt_tokens,
                               is_connected, response);
}

void routes::answer_service(const httplib::Request& request,
                            httplib::Response& response) const
{
    if (request.body.size() > settings_.max_body_bytes)
        return refuse_large_body(response);
    const core::class_name name(request.matches[1].str());
    const auto parsed = parse_service(request, name);
    if (const auto* refused = std::get_if<refusal>(&parsed))
        return refuse(*refused, response);
    const auto& accepted = std::get<core::request>(parsed);
    response.set_header(request_id_header, std::to_string(accepted.id.value()));
    const std::string rest = request.matches[2].str();
    core::payload payload{.path = rest.size() > 1 ? rest : "/" + name.value(),
                          .body = request.body};
    if (request.has_header("Content-Type"))
        payload.content_type = request.get_header_value("Content-Type");
    auto submitted = submit(accepted, std::move(payload));
    if (const auto* refused = std::get_if<refusal>(&submitted))
        return refuse(*refused, response);
    answer_with_body(std::move(std::get<answer_reader>(submitted)),
                     connection_check_of(request), response);
}

void routes::answer_entry(const httplib::Request& request,
                          httplib::Response& response) const
{
    const std::string workspace =
        request.has_param("workspace")
            ? request.get_param_value("workspace")
            : request.get_header_value(workspace_header);
    if (workspace.empty())
        return refuse({core::reason::invalid_request,
                       "the parameter workspace is missing"},
                      response);
    const auto answer = handlers_.find_entry(core::workspace_id(workspace));
    response.set_content(encode_entry(answer), json_content_type);
}

void routes::answer_explain(const httplib::Request& request,
                            httplib::Response& response) const
{
    std::uint64_t number = 0;
    const bool is_id = absl::SimpleAtoi(request.matches[1].str(), &number);
    const auto text =
        is_id ? handlers_.explain(core::request_id(number)) : std::nullopt;
    if (text)
        response.set_content(*text, json_content_type);
    else
        response.status = 404;
}

void routes::answer_ready(httplib::Response& response) const
{
    const bool is_ready = handlers_.is_ready();
    response.set_content(is_ready ? "ready\n" : "not ready\n",
                         text_content_type);
    if (!is_ready)
        response.status = service_unavailable;
}

std::variant<core::request, refusal>
routes::parse_chat(const httplib::Request& request,
                   const chat_request& chat) const
{
    auto parsed = parse_headers(request);
    auto* accepted = std::get_if<core::request>(&parsed);
    if (accepted == nullptr)
        return parsed;
    accepted->service_class =
        core::class_name(request.get_header_value(class_header));
    const auto found = handlers_.find_class(accepted->service_class);
    if (!found || found->kind != core::call_kind::generate)
        return unknown_class(accepted->service_class);
    if (!is_known_model(chat.model))
        return refusal{core::reason::unknown_model,
                       "there is no such model: \"" + chat.model.value() +
                           "\""};
    accepted->id = handlers_.next_request_id();
    accepted->model = chat.model;
    accepted->prompt_tokens = chat.prompt_tokens;
    accepted->max_tokens = chat.max_tokens;
    accepted->prefix_hash = chat.prefix_hash;
    return parsed;
}

std::variant<core::request, refusal>
routes::parse_service(const httplib::Request& request,
                      const core::class_name& name) const
{
    auto parsed = parse_headers(request);
    auto* accepted = std::get_if<core::request>(&parsed);
    if (accepted == nullptr)
        return parsed;
    const auto found = handlers_.find_class(name);
    if (!found || found->kind != core::call_kind::service)
        return unknown_class(name);
    if (has_control_character(request.path) ||
        !is_valid_name(request.get_header_value("Content-Type")))
        return refusal{core::reason::invalid_request,
                       "the path or Content-Type has a control character"};
    if (!found->idempotent && !accepted->key)
        return refusal{core::reason::invalid_request,
                       "this class needs the header Idempotency-Key"};
    accepted->id = handlers_.next_request_id();
    accepted->service_class = name;
    return parsed;
}

bool routes::is_known_model(const core::model_name& model) const
{
    const auto models = handlers_.models();
    return std::ranges::find(models, model) != models.end();
}

std::variant<answer_reader, refusal>
routes::submit(const core::request& request, core::payload payload) const
{
    auto answers =
        std::make_shared<core::answer_ring>(settings_.answer_ring_capacity);
    const auto refused = handlers_.submit(
        {request, std::make_shared<const core::payload>(std::move(payload)),
         answers});
    if (refused)
        return refusal{*refused, {}, request.key.has_value()};
    return answer_reader(request.id, std::move(answers),
                         settings_.caller_check_interval,
                         handlers_.on_caller_gone);
}

void routes::refuse_large_body(httplib::Response& response) const
{
    refuse({core::reason::invalid_request, "the body is too large"}, response);
    response.status = payload_too_large;
}

void routes::refuse(const refusal& refusal, httplib::Response& response) const
{
    set_reply(record_refusal(refusal), response);
}

} // namespace oriolefall::front
