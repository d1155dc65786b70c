#ifndef ORIOLEFALL_FRONT_LISTEN_SOCKET_HPP
#define ORIOLEFALL_FRONT_LISTEN_SOCKET_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/front/stop_signal.hpp"

#include <cstdint>
#include <optional>

namespace oriolefall::front {

/// A listening TCP socket. Not thread-safe.
class listen_socket
{
public:
    /// Binds to a numeric IPv4 or IPv6 address; port 0 selects a free port.
    /// Returns std::nullopt when the address cannot be bound.
    [[nodiscard]] static std::optional<listen_socket>
    bind(const core::endpoint& endpoint);

    listen_socket(listen_socket&& other) noexcept;
    listen_socket& operator=(listen_socket&& other) noexcept;
    listen_socket(const listen_socket&) = delete;
    listen_socket& operator=(const listen_socket&) = delete;
    ~listen_socket();

    [[nodiscard]] std::uint16_t port() const;

    /// Blocks until a connection is accepted and returns its descriptor, which
    /// the calling function must close. Returns std::nullopt once `stop` is
    /// raised or the listening socket has failed.
    [[nodiscard]] std::optional<int> accept(const stop_signal& stop);

private:
    explicit listen_socket(int descriptor) : descriptor_(descriptor) {}

    int descriptor_;
};

} // namespace oriolefall::front

#endif
