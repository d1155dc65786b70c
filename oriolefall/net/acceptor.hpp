#ifndef ORIOLEFALL_NET_ACCEPTOR_HPP
#define ORIOLEFALL_NET_ACCEPTOR_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/net/beast.hpp"

#include <functional>

namespace oriolefall::net {

/// Listens at `endpoint`, even while connections of an earlier process are in
/// TIME_WAIT there. `backlog`: maximum number of connections that wait to be
/// accepted. On an error the acceptor stays closed, and may be opened again.
[[nodiscard]] error_code open_acceptor(tcp::acceptor& acceptor,
                                       const core::endpoint& endpoint,
                                       int backlog);

/// Passes each new connection to `on_accepted` until the acceptor is closed.
/// When accepting fails, mostly because no file descriptors are left, it tries
/// again after a delay. The acceptor must outlive the work of its io_context.
void accept_connections(tcp::acceptor& acceptor,
                        std::function<void(tcp::socket)> on_accepted);

} // namespace oriolefall::net

#endif
