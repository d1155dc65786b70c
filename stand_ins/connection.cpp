#include "stand_ins/connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <ranges>
#include <sys/resource.h>
#include <sys/socket.h>

namespace oriolefall::stand_ins {

namespace {

constexpr int no_socket = -1;
constexpr rlim_t most_sockets = 65536;

/// The port at the other end of a socket; 0 when it has none.
int peer_port(int socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return 0;
    return ntohs(address.sin_port);
}

int highest_socket()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<int>(std::min(limit.rlim_cur, most_sockets));
}

} // namespace

connection connection::of(const httplib::Request& request)
{
    const auto sockets = std::views::iota(0, highest_socket());
    const auto found = std::ranges::find(sockets, request.remote_port,
                                         [](int s) { return peer_port(s); });
    return connection(found == sockets.end() ? no_socket : *found);
}

bool connection::is_closed() const
{
    char byte = 0;
    const ssize_t got =
        ::recv(socket_, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::cut() const
{
    ::shutdown(socket_, SHUT_RDWR);
}

} // namespace oriolefall::stand_ins
