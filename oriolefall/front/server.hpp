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
enum class request_head_result;
class http_protocol;
class routes;

/// The HTTP server for callers and operators. One thread accepts connections;
/// each open connection has a worker thread that decodes requests, hands them
/// to the decision logic, waits for the answers and encodes them. Connections
/// above `max_connections` get answers on the operators' paths only. `start`
/// and `stop` are called on one thread; `port` is thread-safe after `start`.
class server
{
public:
    server(front_settings settings, handlers handlers);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Binds the address and starts to accept connections. False when the
    /// address cannot be bound. Called at most once.
    [[nodiscard]] bool start();
    /// The port bound by `start`; 0 before it.
    [[nodiscard]] std::uint16_t port() const;
    /// Stops accepting connections and blocks until every open request has
    /// been answered. Later calls have no effect.
    void stop();

private:
    void accept_connections();
    void serve(accepted_socket accepted);
    /// Answers a request whose head was too large or not received in time.
    void refuse_head(request_head_result result, connection& caller) const;
    /// Answers with an error and closes a connection for which there is no
    /// worker.
    void refuse_connection(int descriptor);

    front_settings settings_;
    std::unique_ptr<routes> routes_;
    std::unique_ptr<http_protocol> protocol_;
    /// Serves connections above `max_connections`.
    std::unique_ptr<http_protocol> overflow_protocol_;
    stop_signal stop_;
    std::optional<listen_socket> socket_;
    std::uint16_t port_ = 0;
    connection_pool pool_;
    std::optional<core::duty_thread> acceptor_;
};

} // namespace oriolefall::front

#endif
