#ifndef ORIOLEFALL_FRONT_CODEC_ERROR_HPP
#define ORIOLEFALL_FRONT_CODEC_ERROR_HPP

#include <compare>
#include <string>

namespace oriolefall::front {

/// Explains to the caller why its message could not be decoded.
struct codec_error
{
    std::string message;
    auto operator<=>(const codec_error&) const = default;
};

} // namespace oriolefall::front

#endif
