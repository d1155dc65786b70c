#ifndef ORIOLEFALL_BACKEND_ENGINE_CODEC_HPP
#define ORIOLEFALL_BACKEND_ENGINE_CODEC_HPP

#include "oriolefall/backend/event_stream.hpp"
#include "oriolefall/core/answer.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::backend {

/// One token of an engine's stream; the last one has a finish reason.
struct engine_token
{
    /// Place in the answer as the engine says; nothing when it does not.
    std::optional<std::uint64_t> index;
    std::string text;
    std::string finish_reason;
    auto operator<=>(const engine_token&) const = default;
};

/// The engine says that the answer is whole.
struct engine_done
{
    auto operator<=>(const engine_done&) const = default;
};

/// The engine sent what cannot be understood, or an error.
struct engine_fault
{
    std::string message;
    auto operator<=>(const engine_fault&) const = default;
};

using engine_message = std::variant<engine_token, engine_done, engine_fault>;

/// Decodes one event of a streamed chat completion. Any thread.
[[nodiscard]] engine_message parse_engine_event(const stream_event& event);

} // namespace oriolefall::backend

#endif
