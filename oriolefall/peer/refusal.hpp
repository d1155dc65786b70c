#ifndef ORIOLEFALL_PEER_REFUSAL_HPP
#define ORIOLEFALL_PEER_REFUSAL_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolefall::peer {

/// Why a connection or message between instances was refused or dropped. Each
/// is a counter.
enum class refusal : std::uint8_t
{
    malformed,           ///< bytes that are not of the protocol
    oversized,           ///< a record beyond the limit
    unknown_message,     ///< a kind that this release does not know
    wrong_version,       ///< no common version of the protocol
    unauthenticated,     ///< the proof of the shared key was wrong
    unexpected_instance, ///< another instance answers at that address
    handshake_timeout,   ///< the handshake took too long
    connection_limit,    ///< too many connections from other instances
    duplicate,           ///< another connection to that instance is kept
    connect_failed,      ///< no connection could be made
    connection_lost,     ///< the connection ended
    silent,              ///< no byte came within the limit
    not_connected,       ///< there is no connection to that instance
    queue_full,          ///< too many bytes wait for that instance
    ring_full            ///< the receiving duty had no room
};

inline constexpr std::size_t refusal_count = 15;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(refusal value);
/// All refusals, in the order of the enumeration.
[[nodiscard]] std::array<refusal, refusal_count> all_refusals();

} // namespace oriolefall::peer

#endif
