#include "oriolefall/net/acceptor.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace oriolefall::net {

namespace {

/// Delay before the next attempt after a failed accept.
constexpr std::chrono::milliseconds accept_retry_delay{50};

} // namespace

error_code open_acceptor(tcp::acceptor& acceptor,
                         const core::endpoint& endpoint, int backlog)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return error;
    const tcp::endpoint local_endpoint(address, endpoint.port);
    acceptor.open(local_endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(local_endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error) {
        error_code ignored;
        acceptor.close(ignored);
    }
    return error;
}

void accept_connections(tcp::acceptor& acceptor,
                        std::function<void(tcp::socket)> on_accepted)
{
    acceptor.async_accept([&acceptor, on_accepted = std::move(on_accepted)](
                              const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            return;
        if (!error) {
            on_accepted(std::move(socket));
            accept_connections(acceptor, on_accepted);
            return;
        }
        const auto timer =
            std::make_shared<asio::steady_timer>(acceptor.get_executor());
        timer->expires_after(accept_retry_delay);
        timer->async_wait(
            [&acceptor, on_accepted, timer](const error_code& cancelled) {
                if (!cancelled)
                    accept_connections(acceptor, on_accepted);
            });
    });
}

} // namespace oriolefall::net
