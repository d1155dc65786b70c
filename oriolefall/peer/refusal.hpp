#ifndef ORIOLEFALL_PEER_REFUSAL_HPP
#define ORIOLEFALL_PEER_REFUSAL_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolefall::peer {

/// Why a connection or message between instances was refused or dropped. Each
/// reason has its own counter.
enum class refusal : std::uint8_t
{
    malformed,           ///< bytes that violate the protocol
    oversized,           ///< a record longer than the limit
    unknown_message,     ///< a message kind that this release does not know
    wrong_version,       ///< no common protocol version
    unauthenticated,     ///< the proof of the shared key is wrong
    unexpected_instance, ///< another instance listens at that address
    handshake_timeout,   ///< the handshake took too long
    connection_limit,    ///< too many connections from other instances
    duplicate,           ///< another connection to that instance is used
    connect_failed,      ///< the connection could not be established
    connection_lost,     ///< the connection was closed
    silent,              ///< no byte was received within the timeout
    not_connected,       ///< there is no connection to that instance
    queue_full,          ///< too many bytes are queued for that instance
    ring_full            ///< the ring of the receiving duty was full
};

inline constexpr std::size_t refusal_count = 15;

/// The name in logs and metrics.
[[nodiscard]] std::string_view to_string(refusal value);
/// All refusals, in the order of the enumeration.
[[nodiscard]] std::array<refusal, refusal_count> all_refusals();

} // namespace oriolefall::peer

#endif
