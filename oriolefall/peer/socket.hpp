#ifndef ORIOLEFALL_PEER_SOCKET_HPP
#define ORIOLEFALL_PEER_SOCKET_HPP

#include "oriolefall/core/backend_server.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace oriolefall::peer {

/// A file descriptor that is closed with its owner. One thread at a time.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        std::swap(fd_, other.fd_);
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;
    ~unique_fd();

    [[nodiscard]] int get() const
    {
        return fd_;
    }
    [[nodiscard]] bool is_valid() const
    {
        return fd_ >= 0;
    }

private:
    int fd_ = -1;
};

/// A socket that listens at an IP number; nothing when that fails.
[[nodiscard]] std::optional<unique_fd>
listen_at(const core::endpoint& endpoint);
/// The port that a listening socket was given.
[[nodiscard]] std::uint16_t port_of(const unique_fd& listener);
/// Begins to connect without waiting; nothing when that fails at once.
[[nodiscard]] std::optional<unique_fd>
begin_connect(const core::endpoint& endpoint);
/// Takes the next connection; nothing when there is none.
[[nodiscard]] std::optional<unique_fd> accept_from(const unique_fd& listener);

} // namespace oriolefall::peer

#endif
