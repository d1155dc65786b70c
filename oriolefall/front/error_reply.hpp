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

/// An HTTP answer that tells a caller why there is no whole answer.
struct error_reply
{
    int status = 500;
    /// JSON text: {"error":{"message","type","code","verdict","reason"}}.
    std::string body;
    /// Whole seconds for `Retry-After`; nothing where a repeat won't help.
    std::optional<std::int64_t> retry_after_seconds;
    auto operator<=>(const error_reply&) const = default;
};

/// The answer for a request that ended with `verdict`, which is not `ran`.
/// `retry_after` is used when the request was refused. An empty `message`
/// gives the standard one of the reason. Any thread.
[[nodiscard]] error_reply
make_error_reply(const core::verdict& verdict,
                 absl::Duration retry_after = absl::ZeroDuration(),
                 std::string_view message = {});

/// As above for a request that this instance refused before it was sent on.
[[nodiscard]] error_reply make_refusal(const refusal& refusal);

} // namespace oriolefall::front

#endif
