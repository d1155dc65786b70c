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

/// Why a call to the platform gave no result. Each is a counter.
enum class failure : std::uint8_t
{
    connect_failed, ///< no connection within the time limit
    no_answer,      ///< the connection ended or was silent before the answer
    outage,         ///< the platform said that it cannot serve (503)
    rate_limited,   ///< the platform said that calls come too fast (429)
    bad_answer,     ///< the answer was not what the contract says
    stopped         ///< this client is stopping
};

inline constexpr std::size_t failure_count = 6;

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(failure value);

/// No such object.
struct not_found
{
    auto operator<=>(const not_found&) const = default;
};

/// The condition of a write did not hold; the write has no effect and will
/// have none.
struct conflict
{
    /// Version that the object has, 0 when it is absent or not known.
    std::uint64_t version = 0;
    auto operator<=>(const conflict&) const = default;
};

/// The platform will never take this write.
struct rejected
{
    std::string why;
    auto operator<=>(const rejected&) const = default;
};

/// No result; a write had no effect and will have none.
struct unavailable
{
    failure cause = failure::outage;
    /// When the platform asked to be called again; zero when it did not say.
    absl::Duration retry_after = absl::ZeroDuration();
    std::strong_ordering operator<=>(const unavailable&) const = default;
};

/// The write may have taken effect, or may still do so.
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

/// Changes after this revision are no longer known: list again.
struct history_gone
{
    auto operator<=>(const history_gone&) const = default;
};

/// The watch gave no answer although its time limit has passed.
struct watch_silent
{
    auto operator<=>(const watch_silent&) const = default;
};

using read_result = std::variant<stored_object, not_found, unavailable>;
using list_result = std::variant<object_list, unavailable>;
using write_result =
    std::variant<written, conflict, rejected, unavailable, unknown_outcome>;
using watch_result =
    std::variant<object_changes, history_gone, watch_silent, unavailable>;
using instances_result =
    std::variant<std::vector<listed_instance>, unavailable>;

} // namespace oriolefall::objects

#endif
