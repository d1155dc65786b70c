#ifndef ORIOLEFALL_FRONT_ROUTES_HPP
#define ORIOLEFALL_FRONT_ROUTES_HPP

#include "oriolefall/front/answer_reader.hpp"
#include "oriolefall/front/chat_request.hpp"
#include "oriolefall/front/error_reply.hpp"
#include "oriolefall/front/front_settings.hpp"
#include "oriolefall/front/handlers.hpp"
#include "oriolefall/front/refusal.hpp"

#include <variant>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace oriolefall::front {

/// The handlers of all HTTP paths. Thread-safe: its state is constant.
class routes
{
public:
    /// `settings` must outlive this object.
    routes(const front_settings& settings, handlers handlers);

    /// Registers all paths with `http`, which must not outlive this object.
    void install(httplib::Server& http) const;
    /// Registers the operators' paths only; requests for other paths are
    /// refused.
    void install_overflow(httplib::Server& http) const;
    /// Counts a refusal and returns the error to answer with. Needs no parsed
    /// request.
    [[nodiscard]] error_reply record_refusal(const refusal& refusal) const;

private:
    void install_error_handler(httplib::Server& http) const;
    void install_operator_paths(httplib::Server& http) const;
    void answer_chat(const httplib::Request& request,
                     httplib::Response& response) const;
    void answer_service(const httplib::Request& request,
                        httplib::Response& response) const;
    void answer_entry(const httplib::Request& request,
                      httplib::Response& response) const;
    void answer_explain(const httplib::Request& request,
                        httplib::Response& response) const;
    void answer_ready(httplib::Response& response) const;

    [[nodiscard]] std::variant<core::request, refusal>
    parse_chat(const httplib::Request& request, const chat_request& chat) const;
    [[nodiscard]] std::variant<core::request, refusal>
    parse_service(const httplib::Request& request,
                  const core::class_name& name) const;
    [[nodiscard]] bool is_known_model(const core::model_name& model) const;

    /// Hands the request to the decision logic and returns the reader of its
    /// answer.
    [[nodiscard]] std::variant<answer_reader, refusal>
    submit(const core::request& request, core::payload payload) const;
    /// Refuses a request whose chunked body is larger than `max_body_bytes`.
    void refuse_large_body(httplib::Response& response) const;
    /// Counts and answers a request that does not reach the decision logic.
    void refuse(const refusal& refusal, httplib::Response& response) const;

    const front_settings& settings_;
    handlers handlers_;
};

} // namespace oriolefall::front

#endif
