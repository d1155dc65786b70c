#ifndef ORIOLEFALL_FRONT_ERROR_REPLY_HPP
#define ORIOLEFALL_FRONT_ERROR_REPLY_HPP

#include "oriolefall/core/verdict.hpp"
#include "oriolefall/front/refusal.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::front {

/// An HTTP error that explains why the caller gets no whole answer.
struct error_reply
{
    int status = 500;
    /// JSON text: {"error":{"message","type","code","verdict","reason"}}.
    std::string body;
    /// Seconds for the header `Retry-After`; std::nullopt when a retry would
    /// not help.
    std::optional<std::int64_t> retry_after_seconds;
    auto operator<=>(const error_reply&) const = default;
};

/// Returns the error for a request that ended with `verdict`, which must not
/// be `ran`. `retry_after` is used for the statuses 429 and 503. An empty
/// `message` selects the default message of the verdict. Thread-safe.
[[nodiscard]] error_reply
make_error_reply(const core::verdict& verdict,
                 absl::Duration retry_after = absl::ZeroDuration(),
                 std::string_view message = {});

/// Returns the error for a request that this instance refused before it
/// called a backend server. Thread-safe.
[[nodiscard]] error_reply make_refusal_reply(const refusal& refusal);

} // namespace oriolefall::front

#endif
