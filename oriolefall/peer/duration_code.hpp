#ifndef ORIOLEFALL_PEER_DURATION_CODE_HPP
#define ORIOLEFALL_PEER_DURATION_CODE_HPP

#include <cstdint>
#include <limits>

namespace oriolefall::peer::detail {

/// Stands for an infinite duration in a message, where durations are in
/// milliseconds.
inline constexpr std::uint64_t infinite_milliseconds =
    std::numeric_limits<std::uint64_t>::max();

} // namespace oriolefall::peer::detail

#endif
