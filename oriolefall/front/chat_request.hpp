#ifndef ORIOLEFALL_FRONT_CHAT_REQUEST_HPP
#define ORIOLEFALL_FRONT_CHAT_REQUEST_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace oriolefall::front {

/// A checked chat completion request of a caller.
struct chat_request
{
    core::model_name model;
    /// True: the caller wants server-sent events.
    bool stream = false;
    /// Limit on the answer, in tokens; 0 for none.
    std::uint32_t max_tokens = 0;
    /// Estimated length of the prompt, in tokens.
    std::uint32_t prompt_tokens = 0;
    /// Hash of the head of the prompt.
    std::uint64_t prefix_hash = 0;
    /// The JSON text sent to the engine: the caller's, always streamed.
    std::string engine_body;
    auto operator<=>(const chat_request&) const = default;
};

} // namespace oriolefall::front

#endif
