#ifndef ORIOLEFALL_STAND_INS_HTTP_HOST_HPP
#define ORIOLEFALL_STAND_INS_HTTP_HOST_HPP

#include "oriolefall/core/duty_thread.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <httplib.h>
#include <optional>
#include <string_view>

namespace oriolefall::stand_ins {

/// Where a stand-in listens.
struct host_settings
{
    /// 0 takes a free port.
    std::uint16_t port = 0;
    /// Connections served at once; one thread each.
    std::size_t threads = 256;
    std::strong_ordering operator<=>(const host_settings&) const = default;
};

/// An HTTP server on loopback with a thread that accepts connections and a
/// pool of threads that serve them.
class http_host
{
public:
    /// `add_routes` sets the handlers before the first connection.
    http_host(const host_settings& settings,
              const std::function<void(httplib::Server&)>& add_routes);
    http_host(const http_host&) = delete;
    http_host& operator=(const http_host&) = delete;
    /// Stops listening and joins all threads.
    ~http_host();

    /// The port taken; 0 when it could not be had.
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return port_;
    }

private:
    httplib::Server server_;
    int listening_socket_ = -1;
    std::uint16_t port_ = 0;
    std::optional<core::duty_thread> thread_;
};

/// Gives an error in the JSON shape of language-model services.
void set_error(httplib::Response& response, int status, std::string_view type,
               std::string_view message);

} // namespace oriolefall::stand_ins

#endif
