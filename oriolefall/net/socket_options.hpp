#ifndef ORIOLEFALL_NET_SOCKET_OPTIONS_HPP
#define ORIOLEFALL_NET_SOCKET_OPTIONS_HPP

#include "oriolefall/net/beast.hpp"

#include <chrono>

namespace oriolefall::net {

// Options of a TCP connection, mostly for detecting a dead one. An option that
// the socket rejects is ignored: the timeouts for received data still apply.

/// Sends small writes at once, without Nagle's algorithm.
void set_no_delay(tcp::socket& socket);
/// Ends the connection when sent data stays unacknowledged for `timeout`
/// (TCP_USER_TIMEOUT).
void set_ack_timeout(tcp::socket& socket, std::chrono::milliseconds timeout);
/// Probes an idle connection every second; two unanswered probes end it.
void set_keep_alive(tcp::socket& socket);

} // namespace oriolefall::net

#endif
