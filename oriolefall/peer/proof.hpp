#ifndef ORIOLEFALL_PEER_PROOF_HPP
#define ORIOLEFALL_PEER_PROOF_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::peer {

/// Versions of the inner protocol that a release supports.
struct version_range
{
    std::uint32_t lowest = 1;
    std::uint32_t highest = 1;
    auto operator<=>(const version_range&) const = default;
};

/// The highest version in both ranges; empty if they do not overlap.
[[nodiscard]] std::optional<std::uint32_t>
highest_common_version(const version_range& one, const version_range& two);

/// What one end of a connection declares in the handshake.
struct handshake_params
{
    std::string instance;
    std::uint64_t incarnation = 0;
    version_range versions;
    /// Random for each connection, in hexadecimal.
    std::string nonce;
    auto operator<=>(const handshake_params&) const = default;
};

/// Which end of a connection an instance is.
enum class connection_role : std::uint8_t
{
    dialer,
    acceptor
};

/// Proof that the end with this role knows the key that all instances share: an
/// HMAC-SHA-256 of the handshake parameters of both ends, in hexadecimal.
/// Covering both nonces prevents replay; covering both version ranges prevents
/// a downgrade. Any thread.
[[nodiscard]] std::string make_proof(std::string_view key, connection_role role,
                                     const handshake_params& dialer,
                                     const handshake_params& acceptor);

/// Compares two proofs in constant time.
[[nodiscard]] bool proofs_match(std::string_view one, std::string_view two);

/// 128 random bits in hexadecimal.
[[nodiscard]] std::string make_nonce();

} // namespace oriolefall::peer

#endif
