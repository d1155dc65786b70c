#ifndef ORIOLEFALL_FRONT_SERVER_HPP
#define ORIOLEFALL_FRONT_SERVER_HPP

#include "oriolefall/front/front_settings.hpp"
#include "oriolefall/front/handlers.hpp"

#include <cstdint>
#include <memory>
#include <thread>

namespace httplib {
class Server;
}

namespace oriolefall::front {

class routes;

/// Answers callers and operators over HTTP. One thread listens; each open
/// connection has a worker that decodes, hands on, waits and encodes.
/// `start` and `stop` are for one thread; `port` may be called from any.
class server
{
public:
    server(front_settings settings, handlers handlers);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Binds and starts to listen. False when the address cannot be bound.
    [[nodiscard]] bool start();
    /// The port bound by `start`; 0 before it.
    [[nodiscard]] std::uint16_t port() const;
    /// Takes no more connections, lets each open request end, then returns.
    /// Harmless when repeated.
    void stop();

private:
    front_settings settings_;
    std::unique_ptr<routes> routes_;
    std::unique_ptr<httplib::Server> http_;
    std::thread listener_;
    std::uint16_t port_ = 0;
};

} // namespace oriolefall::front

#endif
