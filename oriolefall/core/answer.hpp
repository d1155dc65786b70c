#ifndef ORIOLEFALL_CORE_ANSWER_HPP
#define ORIOLEFALL_CORE_ANSWER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/verdict.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

namespace oriolefall::core {

/// One token of a generated answer.
struct answer_token
{
    /// Position in the answer, from 0.
    std::uint64_t index = 0;
    std::string text;
    /// Why the engine stopped after this token, such as "stop" or "length";
    /// empty if it did not stop.
    std::string finish_reason;
    auto operator<=>(const answer_token&) const = default;
};

/// The complete answer of a plain service.
struct answer_body
{
    int status = 200;
    std::string content_type;
    std::string body;
    auto operator<=>(const answer_body&) const = default;
};

/// The last part of every answer.
struct answer_end
{
    core::verdict verdict;
    /// For a refused request: minimum time before a retry makes sense.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const answer_end&) const = default;
};

using answer_part = std::variant<answer_token, answer_body, answer_end>;

/// Passes one request's answer from a worker thread to the caller's thread.
using answer_ring = bounded_ring<answer_part>;
using answer_ring_ptr = std::shared_ptr<answer_ring>;

} // namespace oriolefall::core

#endif
