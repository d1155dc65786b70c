#ifndef ORIOLEFALL_NET_ACCEPTOR_HPP
#define ORIOLEFALL_NET_ACCEPTOR_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/net/beast.hpp"

namespace oriolefall::net {

/// Listens at `at`, also when connections of an earlier process linger there.
/// `queue`: connections that wait to be accepted at most. False when the
/// address can't be had.
[[nodiscard]] bool open_acceptor(tcp::acceptor& acceptor,
                                 const core::endpoint& at, int queue);

} // namespace oriolefall::net

#endif
