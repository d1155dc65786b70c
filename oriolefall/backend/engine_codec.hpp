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

/// One token of an engine's answer stream; the last one has a finish reason.
struct engine_token
{
    /// Position in the answer; nullopt if the engine did not send one.
    std::optional<std::uint64_t> index;
    std::string text;
    std::string finish_reason;
    auto operator<=>(const engine_token&) const = default;
};

/// The engine reported that the answer is complete.
struct engine_done
{
    auto operator<=>(const engine_done&) const = default;
};

/// The engine sent an error or a malformed event.
struct engine_error
{
    std::string message;
    auto operator<=>(const engine_error&) const = default;
};

using engine_message = std::variant<engine_token, engine_done, engine_error>;

/// Decodes one event of a streamed chat completion. Thread-safe.
[[nodiscard]] engine_message parse_engine_event(const stream_event& event);

} // namespace oriolefall::backend

#endif
