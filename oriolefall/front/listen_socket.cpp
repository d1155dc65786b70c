#include "oriolefall/front/listen_socket.hpp"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace oriolefall::front {

namespace {

/// Maximum number of connections that the system queues until they are
/// accepted.
constexpr int backlog = 512;
/// Delay before the next accept when the system is out of file descriptors or
/// buffers, in milliseconds.
constexpr int descriptor_retry_delay_ms = 50;

/// An IPv4 or IPv6 socket address.
struct socket_address
{
    sockaddr_storage storage{};
    socklen_t size = 0;

    [[nodiscard]] const sockaddr* get() const
    {
        return reinterpret_cast<const sockaddr*>(&storage);
    }
    [[nodiscard]] sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage);
    }
};

std::optional<socket_address> to_socket_address(const core::endpoint& endpoint)
{
    socket_address address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (::inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in);
        return address;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (::inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        address.size = sizeof(sockaddr_in6);
        return address;
    }
    return std::nullopt;
}

bool start_listening(int descriptor, const socket_address& address)
{
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    return ::bind(descriptor, address.get(), address.size) == 0 &&
           ::listen(descriptor, backlog) == 0;
}

/// True when a later accept may succeed.
bool is_transient(int error)
{
    return error != EBADF && error != EINVAL && error != ENOTSOCK;
}

bool is_out_of_descriptors(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM;
}

} // namespace

std::optional<listen_socket> listen_socket::bind(const core::endpoint& endpoint)
{
    const auto address = to_socket_address(endpoint);
    if (!address)
        return std::nullopt;
    const int type = SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK;
    const int descriptor = ::socket(address->storage.ss_family, type, 0);
    if (descriptor < 0)
        return std::nullopt;
    listen_socket listener(descriptor);
    if (!start_listening(descriptor, *address))
        return std::nullopt;
    return listener;
}

listen_socket::listen_socket(listen_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
{
}

listen_socket& listen_socket::operator=(listen_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

listen_socket::~listen_socket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

std::uint16_t listen_socket::port() const
{
    socket_address address;
    address.size = sizeof(address.storage);
    if (::getsockname(descriptor_, address.get(), &address.size) != 0)
        return 0;
    const bool is_v4 = address.storage.ss_family == AF_INET;
    const auto* as_v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    const auto* as_v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    return ntohs(is_v4 ? as_v4->sin_port : as_v6->sin6_port);
}

std::optional<int> listen_socket::accept(const stop_signal& stop)
{
    std::array<pollfd, 2> entries{pollfd{descriptor_, POLLIN, 0},
                                  pollfd{stop.descriptor(), POLLIN, 0}};
    for (;;) {
        ::poll(entries.data(), entries.size(), -1);
        if (entries[1].revents != 0)
            return std::nullopt;
        const int accepted = ::accept4(descriptor_, nullptr, nullptr,
                                       SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (accepted >= 0) {
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            return accepted;
        }
        const int error = errno;
        if (!is_transient(error))
            return std::nullopt;
        if (is_out_of_descriptors(error))
            ::poll(&entries[1], 1, descriptor_retry_delay_ms);
    }
}

} // namespace oriolefall::front
