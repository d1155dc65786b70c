#include "oriolefall/net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oriolefall::net {

namespace {

constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int max_unanswered_probes = 2;

void set_tcp_option(tcp::socket& socket, int name, int value)
{
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, name, &value,
                 sizeof(value));
}

} // namespace

void set_no_delay(tcp::socket& socket)
{
    set_tcp_option(socket, TCP_NODELAY, 1);
}

void set_ack_timeout(tcp::socket& socket, std::chrono::milliseconds timeout)
{
    set_tcp_option(socket, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

void set_keep_alive(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    set_tcp_option(socket, TCP_KEEPIDLE, keep_alive_idle_s);
    set_tcp_option(socket, TCP_KEEPINTVL, keep_alive_interval_s);
    set_tcp_option(socket, TCP_KEEPCNT, max_unanswered_probes);
}

} // namespace oriolefall::net
