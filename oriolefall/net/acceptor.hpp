#ifndef ORIOLEFALL_NET_ACCEPTOR_HPP
#define ORIOLEFALL_NET_ACCEPTOR_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/net/beast.hpp"

#include <functional>

namespace oriolefall::net {

/// Listens at `at`, also when connections of an earlier process linger there.
/// `queue`: connections that wait to be accepted at most. False when the
/// address can't be had.
[[nodiscard]] bool open_acceptor(tcp::acceptor& acceptor,
                                 const core::endpoint& at, int queue);

/// Gives each connection that comes to `taken` until the acceptor is closed.
/// When none can be had, for want of descriptors mostly, it tries again after a
/// pause. The acceptor must outlive its context's work.
void keep_accepting(tcp::acceptor& acceptor,
                    std::function<void(tcp::socket)> taken);

} // namespace oriolefall::net

#endif
