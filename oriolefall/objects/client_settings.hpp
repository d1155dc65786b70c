#ifndef ORIOLEFALL_OBJECTS_CLIENT_SETTINGS_HPP
#define ORIOLEFALL_OBJECTS_CLIENT_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/clock.hpp"
#include "oriolefall/objects/backoff.hpp"
#include "oriolefall/objects/result.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace oriolefall::objects {

/// What a call to the platform is counted as.
enum class call_type : std::uint8_t
{
    read,
    list,
    write,
    read_back, ///< a read to learn what became of a write
    watch,
    instances,
    announce
};

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(call_type value);

/// One call made to the platform; a repeat is a call of its own.
struct call_noted
{
    call_type type = call_type::read;
    /// Nothing when the platform answered with a result.
    std::optional<failure> failed;
    auto operator<=>(const call_noted&) const = default;
};

/// Fixed for the life of a `client`.
struct client_settings
{
    core::endpoint endpoint;
    /// Starts every write id, for those who read the objects.
    std::string writer_name = "writer";
    absl::Duration connect_limit = absl::Milliseconds(500);
    /// Longest time without a byte of an answer.
    absl::Duration answer_limit = absl::Seconds(2);
    /// How much later than its own time limit a watch may answer.
    absl::Duration watch_grace = absl::Seconds(1);
    /// Tries of one call, the first included.
    std::uint32_t max_attempts = 4;
    backoff_settings backoff;
    /// Longest wait asked for by the platform that is kept to within a call.
    absl::Duration longest_retry_after = absl::Seconds(2);
    double calls_per_second = 50.0;
    double burst = 50.0;
    core::clock_hook clock = core::monotonic_now;
    /// Draws the jitter.
    random_hook random = draw_uniform;
    /// Told of each call; must not block.
    std::function<void(const call_noted&)> note;
};

} // namespace oriolefall::objects

#endif
