#include "oriolefall/peer/socket.hpp"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>
#include <string>

namespace oriolefall::peer {

namespace {

constexpr int backlog = 128;

struct addresses_deleter
{
    void operator()(addrinfo* list) const
    {
        freeaddrinfo(list);
    }
};

using addresses = std::unique_ptr<addrinfo, addresses_deleter>;

addresses resolve(const core::endpoint& endpoint)
{
    addrinfo hints{};
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    const std::string port = std::to_string(endpoint.port);
    if (getaddrinfo(endpoint.address.c_str(), port.c_str(), &hints, &found) !=
        0)
        return {};
    return addresses(found);
}

unique_fd open_socket(const addrinfo& address)
{
    return unique_fd(socket(address.ai_family,
                            SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                            address.ai_protocol));
}

void set_option(const unique_fd& fd, int level, int name)
{
    const int enabled = 1;
    setsockopt(fd.get(), level, name, &enabled, sizeof enabled);
}

} // namespace

unique_fd::~unique_fd()
{
    if (fd_ >= 0)
        close(fd_);
}

std::optional<unique_fd> listen_at(const core::endpoint& endpoint)
{
    const addresses found = resolve(endpoint);
    if (!found)
        return std::nullopt;
    unique_fd fd = open_socket(*found);
    if (!fd.is_valid())
        return std::nullopt;
    set_option(fd, SOL_SOCKET, SO_REUSEADDR);
    if (bind(fd.get(), found->ai_addr, found->ai_addrlen) != 0 ||
        listen(fd.get(), backlog) != 0)
        return std::nullopt;
    return fd;
}

std::uint16_t port_of(const unique_fd& listener)
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (getsockname(listener.get(), reinterpret_cast<sockaddr*>(&address),
                    &size) != 0)
        return 0;
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<sockaddr_in*>(&address)->sin_port);
}

std::optional<unique_fd> begin_connect(const core::endpoint& endpoint)
{
    const addresses found = resolve(endpoint);
    if (!found)
        return std::nullopt;
    unique_fd fd = open_socket(*found);
    if (!fd.is_valid())
        return std::nullopt;
    set_option(fd, IPPROTO_TCP, TCP_NODELAY);
    if (connect(fd.get(), found->ai_addr, found->ai_addrlen) != 0 &&
        errno != EINPROGRESS)
        return std::nullopt;
    return fd;
}

std::optional<unique_fd> accept_from(const unique_fd& listener)
{
    unique_fd fd(accept4(listener.get(), nullptr, nullptr,
                         SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!fd.is_valid())
        return std::nullopt;
    set_option(fd, IPPROTO_TCP, TCP_NODELAY);
    return fd;
}

} // namespace oriolefall::peer
