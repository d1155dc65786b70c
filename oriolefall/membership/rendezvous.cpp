#include "oriolefall/membership/rendezvous.hpp"

#include <xxhash.h>

namespace oriolefall::membership {

std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view candidate)
{
    const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace oriolefall::membership
