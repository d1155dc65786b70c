#ifndef ORIOLEFALL_FRONT_LISTEN_SOCKET_HPP
#define ORIOLEFALL_FRONT_LISTEN_SOCKET_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/front/stop_signal.hpp"

#include <cstdint>
#include <optional>

namespace oriolefall::front {

/// A bound TCP socket that takes connections. For one thread at a time.
class listen_socket
{
public:
    /// Binds to an IP number; port 0 takes a free one. Nothing when the
    /// address cannot be bound.
    [[nodiscard]] static std::optional<listen_socket>
    bind(const core::endpoint& where);

    listen_socket(listen_socket&& other) noexcept;
    listen_socket& operator=(listen_socket&& other) noexcept;
    listen_socket(const listen_socket&) = delete;
    listen_socket& operator=(const listen_socket&) = delete;
    ~listen_socket();

    [[nodiscard]] std::uint16_t port() const;

    /// Blocks for the next connection; its descriptor is the caller's to
    /// close. Nothing once `stop` was raised.
    [[nodiscard]] std::optional<int> accept(const stop_signal& stop);

private:
    explicit listen_socket(int descriptor) : descriptor_(descriptor) {}

    int descriptor_;
};

} // namespace oriolefall::front

#endif
