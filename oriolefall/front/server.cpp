#include "oriolefall/front/server.hpp"

#include "oriolefall/front/routes.hpp"

#include <future>
#include <httplib.h>
#include <utility>

namespace oriolefall::front {

server::server(front_settings settings, handlers handlers)
    : settings_(std::move(settings)),
      routes_(std::make_unique<routes>(settings_, std::move(handlers))),
      http_(std::make_unique<httplib::Server>())
{
    routes_->install(*http_);
    http_->set_payload_max_length(settings_.max_body_bytes);
    http_->set_tcp_nodelay(true);
}

server::~server()
{
    stop();
}

bool server::start()
{
    const core::endpoint& listen = settings_.listen;
    if (listen.port == 0) {
        const int bound = http_->bind_to_any_port(listen.address);
        if (bound <= 0)
            return false;
        port_ = static_cast<std::uint16_t>(bound);
    } else {
        if (!http_->bind_to_port(listen.address, listen.port))
            return false;
        port_ = listen.port;
    }
    // The library asks for its workers once it has begun to listen; a stop
    // before that would have no effect.
    std::promise<void> listening;
    http_->new_task_queue = [this, &listening] {
        listening.set_value();
        return new httplib::ThreadPool(settings_.max_connections);
    };
    listener_ = std::thread([this] { http_->listen_after_bind(); });
    listening.get_future().wait();
    return true;
}

std::uint16_t server::port() const
{
    return port_;
}

void server::stop()
{
    http_->stop();
    if (listener_.joinable())
        listener_.join();
}

} // namespace oriolefall::front
