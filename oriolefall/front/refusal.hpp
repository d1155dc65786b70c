#ifndef ORIOLEFALL_FRONT_REFUSAL_HPP
#define ORIOLEFALL_FRONT_REFUSAL_HPP

#include "oriolefall/core/reason.hpp"

#include <compare>
#include <string>

namespace oriolefall::front {

/// Describes why a request is refused before it reaches the decision logic.
struct refusal
{
    core::reason reason;
    /// Message for the caller; empty selects the default message.
    std::string message;
    /// True when the request has an idempotency key, or when that is unknown
    /// because the request was not read.
    bool may_have_key = false;
    auto operator<=>(const refusal&) const = default;
};

} // namespace oriolefall::front

#endif
