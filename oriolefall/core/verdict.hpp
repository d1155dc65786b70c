#ifndef ORIOLEFALL_CORE_VERDICT_HPP
#define ORIOLEFALL_CORE_VERDICT_HPP

#include "oriolefall/core/reason.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace oriolefall::core {

/// No byte of the order can have reached a backend server, or that server
/// itself said that it refused it. Safe to send again.
struct not_run
{
    core::reason reason;
    auto operator<=>(const not_run&) const = default;
};

/// The whole answer was received.
struct ran
{
    /// Tokens of the answer; 0 for a plain service.
    std::uint64_t tokens = 0;
    auto operator<=>(const ran&) const = default;
};

/// The order left this instance and its outcome is not known.
struct may_have_run
{
    core::reason reason;
    auto operator<=>(const may_have_run&) const = default;
};

/// How a request or one call of it ended, and whether it may have run.
using verdict = std::variant<not_run, ran, may_have_run>;

/// How a request ends that is refused before the right to run it was agreed:
/// one with an idempotency key may repeat one that ran at another instance.
[[nodiscard]] verdict refusal_verdict(reason cause, bool has_key);

/// "not_run", "ran" or "may_have_run": used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(const verdict& value);

} // namespace oriolefall::core

#endif
