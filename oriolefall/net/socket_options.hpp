#ifndef ORIOLEFALL_NET_SOCKET_OPTIONS_HPP
#define ORIOLEFALL_NET_SOCKET_OPTIONS_HPP

#include "oriolefall/net/beast.hpp"

#include <chrono>

namespace oriolefall::net {

/// Options by which a silent connection is found. A socket that refuses one
/// goes on without it: the times without bytes still hold.
void set_no_delay(tcp::socket& socket);
/// Sent data that is not acknowledged for so long ends the connection.
void set_ack_limit(tcp::socket& socket, std::chrono::milliseconds limit);
/// Asks for a sign of life on idle connections every second; after two without
/// an answer the connection ends.
void set_keep_alive(tcp::socket& socket);

} // namespace oriolefall::net

#endif
