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

/// Type of a call to the platform, a label of its metrics.
enum class call_type : std::uint8_t
{
    read,
    list,
    write,
    read_back, ///< a read that finds out whether a write took effect
    watch,
    instances,
    announce
};

/// The name used in logs and metrics.
[[nodiscard]] std::string_view to_string(call_type value);

/// One call made to the platform; each retry is a call of its own.
struct call_record
{
    call_type type = call_type::read;
    /// Empty when the platform answered with a result.
    std::optional<failure> failure_cause;
    auto operator<=>(const call_record&) const = default;
};

/// Settings of a `client`, which do not change during its lifetime.
struct client_settings
{
    core::endpoint endpoint;
    /// Prefix of every write id; identifies the writer to readers of the
    /// objects.
    std::string write_id_prefix = "writer";
    absl::Duration connect_timeout = absl::Milliseconds(500);
    /// Maximum time without progress while a request is sent or an answer is
    /// received.
    absl::Duration io_timeout = absl::Seconds(2);
    /// Time beyond its own timeout within which a watch may still answer.
    absl::Duration watch_grace = absl::Seconds(1);
    /// Attempts of one operation, the first included.
    std::uint32_t max_attempts = 4;
    backoff_settings backoff;
    /// Upper limit of the retry-after time of the platform that an operation
    /// waits for.
    absl::Duration max_retry_after = absl::Seconds(2);
    /// Average rate and burst of calls; see `rate_limiter`.
    double calls_per_second = 50.0;
    double burst = 50.0;
    core::clock_hook clock = core::monotonic_now;
    /// Source of the backoff jitter.
    random_hook random = draw_uniform;
    /// Called after each call; must not block.
    std::function<void(const call_record&)> on_call;
};

} // namespace oriolefall::objects

#endif
