#ifndef ORIOLEFALL_FRONT_CHAT_REQUEST_HPP
#define ORIOLEFALL_FRONT_CHAT_REQUEST_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <string>

namespace oriolefall::front {

/// A decoded and validated chat completion request.
struct chat_request
{
    core::model_name model;
    /// True when the caller asked for server-sent events.
    bool stream = false;
    /// Maximum length of the answer, in tokens; 0 for no limit.
    std::uint32_t max_tokens = 0;
    /// Estimated length of the prompt, in tokens.
    std::uint32_t prompt_tokens = 0;
    /// Hash of the start of the prompt.
    std::uint64_t prefix_hash = 0;
    /// The caller's JSON with `stream` set to true, as sent to the engine.
    std::string engine_body;
    auto operator<=>(const chat_request&) const = default;
};

} // namespace oriolefall::front

#endif
