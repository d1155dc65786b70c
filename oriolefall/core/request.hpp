#ifndef ORIOLEFALL_CORE_REQUEST_HPP
#define ORIOLEFALL_CORE_REQUEST_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace oriolefall::core {

/// The properties of a caller's request that decisions depend on, without its
/// encoding.
struct request
{
    request_id id;
    workspace_id workspace;
    class_name service_class;
    /// Requested model; empty for a plain service.
    model_name model;
    std::optional<idempotency_key> key;
    /// Estimated length of the prompt, in tokens.
    std::uint32_t prompt_tokens = 0;
    /// The caller's maximum length of the answer, in tokens; 0 if unlimited.
    std::uint32_t max_tokens = 0;
    /// Size of the buffered request body, in bytes.
    std::uint32_t body_bytes = 0;
    /// Hash of the start of the prompt. Prompts with the same start share an
    /// engine's prefix cache.
    std::uint64_t prefix_hash = 0;
    auto operator<=>(const request&) const = default;
};

/// What is sent to the backend server. Immutable, shared between threads.
struct payload
{
    /// URL path at the backend server, such as "/v1/chat/completions".
    std::string path;
    std::string content_type = "application/json";
    std::string body;
    auto operator<=>(const payload&) const = default;
};

using payload_ptr = std::shared_ptr<const payload>;

} // namespace oriolefall::core

#endif
