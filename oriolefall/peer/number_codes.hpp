#ifndef ORIOLEFALL_PEER_NUMBER_CODES_HPP
#define ORIOLEFALL_PEER_NUMBER_CODES_HPP

#include <cstdint>
#include <limits>

namespace oriolefall::peer::detail {

/// Stands for an infinite duration in a message, where durations are in
/// milliseconds.
inline constexpr std::uint64_t infinite_milliseconds =
    std::numeric_limits<std::uint64_t>::max();

/// Requests per second are given in thousandths, up to the maximum.
inline constexpr double permille_per_unit = 1000;
inline constexpr std::uint64_t max_limit_permille = 1'000'000'000;

} // namespace oriolefall::peer::detail

#endif
