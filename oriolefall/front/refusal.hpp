#ifndef ORIOLEFALL_FRONT_REFUSAL_HPP
#define ORIOLEFALL_FRONT_REFUSAL_HPP

#include "oriolefall/core/reason.hpp"

#include <compare>
#include <string>

namespace oriolefall::front {

/// A request that is answered with an error before the decisions saw it.
struct refusal
{
    core::reason reason;
    /// For the caller to read; empty for the standard one of the reason.
    std::string message;
    /// The request carries an idempotency key, or that is not known.
    bool has_key = false;
    auto operator<=>(const refusal&) const = default;
};

} // namespace oriolefall::front

#endif
