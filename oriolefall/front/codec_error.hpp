#ifndef ORIOLEFALL_FRONT_CODEC_ERROR_HPP
#define ORIOLEFALL_FRONT_CODEC_ERROR_HPP

#include <compare>
#include <string>

namespace oriolefall::front {

/// Why a caller's message could not be decoded, for the caller to read.
struct codec_error
{
    std::string message;
    auto operator<=>(const codec_error&) const = default;
};

} // namespace oriolefall::front

#endif
