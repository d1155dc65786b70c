#ifndef ORIOLEFALL_PEER_SOCKET_HPP
#define ORIOLEFALL_PEER_SOCKET_HPP

#include "oriolefall/core/backend_server.hpp"

#include <cstdint>
#include <optional>
#include <utility>

namespace oriolefall::peer {

/// Owns a file descriptor and closes it on destruction. One thread at a time.
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

/// Opens a non-blocking socket that listens at a numeric IP address; empty on
/// failure.
[[nodiscard]] std::optional<unique_fd>
listen_at(const core::endpoint& endpoint);
/// The port that a listening socket is bound to; 0 on failure.
[[nodiscard]] std::uint16_t port_of(const unique_fd& listener);
/// Starts a non-blocking connect; empty if it fails immediately.
[[nodiscard]] std::optional<unique_fd>
begin_connect(const core::endpoint& endpoint);
/// Accepts the next pending connection; empty if there is none.
[[nodiscard]] std::optional<unique_fd> accept_from(const unique_fd& listener);

} // namespace oriolefall::peer

#endif
