#ifndef ORIOLEFALL_CORE_VERDICT_HPP
#define ORIOLEFALL_CORE_VERDICT_HPP

#include "oriolefall/core/reason.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace oriolefall::core {

/// No byte of the request can have reached a backend server, or the server
/// itself answered that it refused the request. Safe to retry.
struct not_run
{
    core::reason reason;
    auto operator<=>(const not_run&) const = default;
};

/// The complete answer was received.
struct ran
{
    /// Number of tokens in the answer; 0 for a plain service.
    std::uint64_t tokens = 0;
    auto operator<=>(const ran&) const = default;
};

/// The request may have reached a backend server; its outcome is unknown.
struct may_have_run
{
    core::reason reason;
    auto operator<=>(const may_have_run&) const = default;
};

/// How a request or one call of it ended, and whether it may have run.
using verdict = std::variant<not_run, ran, may_have_run>;

/// The verdict of a request that is refused before the right to run it was
/// agreed on. A request with an idempotency key may be a retry of one that ran
/// at another instance.
[[nodiscard]] verdict refusal_verdict(reason cause, bool has_key);

/// "not_run", "ran" or "may_have_run", as used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(const verdict& value);

} // namespace oriolefall::core

#endif
