#include "stand_ins/http_host.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace oriolefall::stand_ins {

namespace {

constexpr int accept_backlog = 1024;
constexpr std::size_t requests_per_connection = 1'000'000;
constexpr time_t idle_connection_s = 60;

} // namespace

http_host::http_host(const host_settings& settings,
                     const std::function<void(httplib::Server&)>& add_routes)
{
    server_.new_task_queue = [threads = settings.threads] {
        return new httplib::ThreadPool(threads);
    };
    server_.set_tcp_nodelay(true);
    server_.set_keep_alive_max_count(requests_per_connection);
    server_.set_keep_alive_timeout(idle_connection_s);
    server_.set_socket_options([this](int socket) {
        listening_socket_ = socket;
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    add_routes(server_);
    if (settings.port == 0) {
        const int taken = server_.bind_to_any_port("127.0.0.1");
        port_ = static_cast<std::uint16_t>(std::max(taken, 0));
    } else if (server_.bind_to_port("127.0.0.1", settings.port)) {
        port_ = settings.port;
    }
    if (port_ == 0)
        return;
    // The library's own backlog drops connections that come in a burst.
    ::listen(listening_socket_, accept_backlog);
    thread_.emplace("accept", [this] { server_.listen_after_bind(); });
    // An answer of any kind shows that a later stop will be heard.
    httplib::Client("127.0.0.1", port_).Options("/");
}

http_host::~http_host()
{
    if (!thread_)
        return;
    server_.stop();
    thread_->join();
}

void set_error(httplib::Response& response, int status, std::string_view type,
               std::string_view message)
{
    const nlohmann::json body{
        {"error", {{"type", type}, {"message", message}}}};
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

} // namespace oriolefall::stand_ins
