#include "oriolefall/peer/proof.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace oriolefall::peer {

namespace {

constexpr std::size_t nonce_bytes = 16;

std::string to_mac_input(const handshake_params& value)
{
    return absl::StrCat(value.instance, "\n", value.incarnation, "\n",
                        value.versions.lowest, "-", value.versions.highest,
                        "\n", value.nonce, "\n");
}

} // namespace

std::optional<std::uint32_t> highest_common_version(const version_range& one,
                                                    const version_range& two)
{
    const std::uint32_t highest = std::min(one.highest, two.highest);
    if (highest < std::max(one.lowest, two.lowest))
        return std::nullopt;
    return highest;
}

std::string make_proof(std::string_view key, connection_role role,
                       const handshake_params& dialer,
                       const handshake_params& acceptor)
{
    const std::string input = absl::StrCat(
        role == connection_role::dialer ? "dialer\n" : "acceptor\n",
        to_mac_input(dialer), to_mac_input(acceptor));
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac_buffer{};
    unsigned int size = 0;
    const unsigned char* mac =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(input.data()), input.size(),
             mac_buffer.data(), &size);
    assert(mac != nullptr);
    return absl::BytesToHexString(
        {reinterpret_cast<const char*>(mac), std::size_t{size}});
}

bool proofs_match(std::string_view one, std::string_view two)
{
    return one.size() == two.size() &&
           CRYPTO_memcmp(one.data(), two.data(), one.size()) == 0;
}

std::string make_nonce()
{
    std::array<unsigned char, nonce_bytes> bytes{};
    [[maybe_unused]] const int filled =
        RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    assert(filled == 1);
    return absl::BytesToHexString(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

} // namespace oriolefall::peer
