#include "oriolefall/net/acceptor.hpp"

namespace oriolefall::net {

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

} // namespace oriolefall::net
