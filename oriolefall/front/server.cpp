#include "oriolefall/front/server.hpp"

#include "oriolefall/front/connection.hpp"
#include "oriolefall/front/http_protocol.hpp"
#include "oriolefall/front/http_reply.hpp"
#include "oriolefall/front/routes.hpp"

#include <utility>

namespace oriolefall::front {

namespace {
constexpr int request_timed_out = 408;
constexpr int header_too_large = 431;
} // namespace

server::server(front_settings settings, handlers handlers)
    : settings_(std::move(settings)),
      routes_(std::make_unique<routes>(settings_, std::move(handlers))),
      protocol_(std::make_unique<http_protocol>(settings_)),
      overflow_protocol_(std::make_unique<http_protocol>(settings_)),
      pool_(settings_.max_connections, settings_.reserved_connections,
            [this](accepted_socket accepted) { serve(accepted); })
{
    routes_->install(*protocol_);
    routes_->install_overflow(*overflow_protocol_);
}

server::~server()
{
    stop();
}

bool server::start()
{
    socket_ = listen_socket::bind(settings_.listen);
    if (!socket_)
        return false;
    port_ = socket_->port();
    acceptor_.emplace("accept", [this] { accept_connections(); });
    return true;
}

std::uint16_t server::port() const
{
    return port_;
}

void server::stop()
{
    stop_.raise();
    acceptor_.reset();
    pool_.finish();
}

void server::accept_connections()
{
    while (const auto descriptor = socket_->accept(stop_)) {
        if (!pool_.submit(*descriptor))
            refuse_connection(*descriptor);
    }
    socket_.reset();
}

void server::serve(accepted_socket accepted)
{
    const bool is_overflow = accepted.kind == connection_kind::overflow;
    http_protocol& protocol = is_overflow ? *overflow_protocol_ : *protocol_;
    const absl::Duration idle_timeout =
        is_overflow ? settings_.overflow_idle_timeout : settings_.idle_timeout;
    connection caller(accepted.descriptor, settings_);
    if (is_overflow)
        caller.drain_at_close();
    for (;;) {
        const request_head_result result =
            caller.await_request(idle_timeout, stop_);
        if (result != request_head_result::received)
            return refuse_head(result, caller);
        const bool is_last = is_overflow || stop_.is_raised();
        if (!protocol.serve_request(caller, is_last))
            return;
    }
}

void server::refuse_head(request_head_result result, connection& caller) const
{
    if (result == request_head_result::no_request)
        return;
    error_reply reply =
        routes_->record_refusal({core::reason::invalid_request, {}});
    reply.status = result == request_head_result::too_large ? header_too_large
                                                            : request_timed_out;
    caller.write_final_answer(encode_closing_reply(reply));
}

void server::refuse_connection(int descriptor)
{
    connection caller(descriptor, settings_);
    // Nothing was read, so it may be a retry, with an idempotency key, of a
    // request that ran at another instance.
    const refusal refusal{core::reason::connection_limit, {}, true};
    caller.write_final_answer(
        encode_closing_reply(routes_->record_refusal(refusal)));
}

} // namespace oriolefall::front
