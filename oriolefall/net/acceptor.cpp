#include "oriolefall/net/acceptor.hpp"

#include <chrono>
#include <memory>
#include <utility>

namespace oriolefall::net {

namespace {

/// Pause after a connection could not be accepted.
constexpr std::chrono::milliseconds accept_pause{50};

} // namespace

bool open_acceptor(tcp::acceptor& acceptor, const core::endpoint& at, int queue)
{
    error_code error;
    const auto address = asio::ip::make_address(at.address, error);
    if (error)
        return false;
    const tcp::endpoint endpoint(address, at.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(queue, error);
    return !error;
}

void keep_accepting(tcp::acceptor& acceptor,
                    std::function<void(tcp::socket)> taken)
{
    acceptor.async_accept([&acceptor, taken = std::move(taken)](
                              const error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor.is_open())
            return;
        if (!error) {
            taken(std::move(socket));
            keep_accepting(acceptor, taken);
            return;
        }
        const auto pause =
            std::make_shared<asio::steady_timer>(acceptor.get_executor());
        pause->expires_after(accept_pause);
        pause->async_wait([&acceptor, taken, pause](const error_code& stopped) {
            if (!stopped)
                keep_accepting(acceptor, taken);
        });
    });
}

} // namespace oriolefall::net
