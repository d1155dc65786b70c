#ifndef ORIOLEFALL_OBJECTS_RESULT_HPP
#define ORIOLEFALL_OBJECTS_RESULT_HPP

#include "oriolefall/objects/object.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// Why a call to the platform gave no result. Each has a counter of its own.
enum class failure : std::uint8_t
{
    connect_failed, ///< no connection within the connect timeout
    no_answer,      ///< connection closed or timed out before the answer
    outage,         ///< the platform is unavailable (503)
    rate_limited,   ///< the platform limits the rate of calls (429)
    bad_answer,     ///< the answer violates the contract of the API
    stopped         ///< this client was stopped
};

inline constexpr std::size_t failure_count = 6;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(failure value);

/// The object does not exist.
struct not_found
{
    auto operator<=>(const not_found&) const = default;
};

/// The condition of a write did not hold. The write had no effect and will not
/// have any.
struct conflict
{
    /// Current version of the object, 0 when it is absent or unknown.
    std::uint64_t version = 0;
    auto operator<=>(const conflict&) const = default;
};

/// The platform will never accept this write.
struct rejected
{
    std::string reason;
    auto operator<=>(const rejected&) const = default;
};

/// The call gave no result. A write had no effect and will not have any.
struct unavailable
{
    failure cause = failure::outage;
    /// Time after which the platform asked to be called again; zero when it did
    /// not state one.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const unavailable&) const = default;
};

/// The write may have taken effect, or may still take effect.
struct unknown_outcome
{
    failure cause = failure::no_answer;
    auto operator<=>(const unknown_outcome&) const = default;
};

/// The write took effect and is durable.
struct written
{
    std::uint64_t version = 0;
    auto operator<=>(const written&) const = default;
};

/// The platform no longer has the changes after the requested revision: a new
/// list is needed.
struct history_gone
{
    auto operator<=>(const history_gone&) const = default;
};

/// The watch was not answered although its timeout has passed.
struct watch_timed_out
{
    auto operator<=>(const watch_timed_out&) const = default;
};

using read_result = std::variant<stored_object, not_found, unavailable>;
using list_result = std::variant<object_list, unavailable>;
using write_result =
    std::variant<written, conflict, rejected, unavailable, unknown_outcome>;
using watch_result =
    std::variant<object_changes, history_gone, watch_timed_out, unavailable>;
using instances_result =
    std::variant<std::vector<listed_instance>, unavailable>;

} // namespace oriolefall::objects

#endif
