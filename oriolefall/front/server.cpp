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
            turn_away(*descriptor);
    }
    socket_.reset();
}

void server::serve(accepted_socket accepted)
{
    const bool overflow = accepted.kind == connection_kind::overflow;
    http_protocol& protocol = overflow ? *overflow_protocol_ : *protocol_;
    const absl::Duration idle =
        overflow ? settings_.overflow_idle_timeout : settings_.idle_timeout;
    connection caller(accepted.descriptor, settings_);
    if (overflow)
        caller.drop_rest_at_close();
    for (;;) {
        const request_start start = caller.await_request(idle, stop_);
        if (start != request_start::ready)
            return refuse_head(start, caller);
        const bool last = overflow || stop_.raised();
        if (!protocol.serve_one(caller, last))
            return;
    }
}

void server::refuse_head(request_start start, connection& caller) const
{
    if (start == request_start::none)
        return;
    error_reply reply =
        routes_->refuse_early({core::reason::invalid_request, {}});
    reply.status = start == request_start::too_large ? header_too_large
                                                     : request_timed_out;
    caller.write_closing(closing_reply(reply));
}

void server::turn_away(int descriptor)
{
    connection caller(descriptor, settings_);
    // Nothing was read: it may be a repeat of a request that ran elsewhere.
    const refusal refusal{core::reason::connection_limit, {}, true};
    caller.write_closing(closing_reply(routes_->refuse_early(refusal)));
}

} // namespace oriolefall::front
