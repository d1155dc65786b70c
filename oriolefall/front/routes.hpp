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

/// What is answered under each path. Called by many workers at once; holds
/// nothing that changes.
class routes
{
public:
    /// `settings` must outlive this object.
    routes(const front_settings& settings, handlers handlers);

    /// Registers all paths at `http`, which must not outlive this object.
    void install(httplib::Server& http) const;
    /// Registers operators' paths only; all others are refused.
    void install_overflow(httplib::Server& http) const;
    /// Counts a refusal that is made before there is a request to answer;
    /// the answer to it.
    [[nodiscard]] error_reply refuse_early(const refusal& refusal) const;

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
    [[nodiscard]] bool knows_model(const core::model_name& model) const;

    /// Hands the request on and gives what reads its answer.
    [[nodiscard]] std::variant<answer_reader, refusal>
    submit(const core::request& request, core::payload payload) const;
    /// As `refuse`, for a body above the limit that came in chunks.
    void refuse_body(httplib::Response& response) const;
    /// Counts and answers a request that the decisions never saw.
    void refuse(const refusal& refusal, httplib::Response& response) const;

    const front_settings& settings_;
    handlers handlers_;
};

} // namespace oriolefall::front

#endif
