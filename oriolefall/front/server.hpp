#ifndef ORIOLEFALL_FRONT_SERVER_HPP
#define ORIOLEFALL_FRONT_SERVER_HPP

#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/front/connection_pool.hpp"
#include "oriolefall/front/front_settings.hpp"
#include "oriolefall/front/handlers.hpp"
#include "oriolefall/front/listen_socket.hpp"
#include "oriolefall/front/stop_signal.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace oriolefall::front {

class connection;
enum class request_start;
class http_protocol;
class routes;

/// Answers callers and operators over HTTP. One thread accepts; each open
/// connection has a worker that decodes, hands on, waits and encodes. Beyond
/// `max_connections` only operators' paths are answered.
/// `start` and `stop` are for one thread; `port` may be called from any.
class server
{
public:
    server(front_settings settings, handlers handlers);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Binds and starts to accept. False when the address cannot be bound.
    /// At most once.
    [[nodiscard]] bool start();
    /// The port bound by `start`; 0 before it.
    [[nodiscard]] std::uint16_t port() const;
    /// Takes no more connections, lets each open request end, then returns.
    /// Harmless when repeated.
    void stop();

private:
    void accept_connections();
    void serve(accepted_socket accepted);
    /// Answers a request whose head did not come as it should.
    void refuse_head(request_start start, connection& caller) const;
    void turn_away(int descriptor);

    front_settings settings_;
    std::unique_ptr<routes> routes_;
    std::unique_ptr<http_protocol> protocol_;
    /// For connections beyond the limit.
    std::unique_ptr<http_protocol> overflow_protocol_;
    stop_signal stop_;
    std::optional<listen_socket> socket_;
    std::uint16_t port_ = 0;
    connection_pool pool_;
    std::optional<core::duty_thread> acceptor_;
};

} // namespace oriolefall::front

#endif
