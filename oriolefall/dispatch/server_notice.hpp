#ifndef ORIOLEFALL_DISPATCH_SERVER_NOTICE_HPP
#define ORIOLEFALL_DISPATCH_SERVER_NOTICE_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// Load that a backend server reports in its answers.
struct server_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on its machine now, in percent of the usual time; 0
    /// if it does not say so.
    std::uint32_t work_percent = 0;
    auto operator<=>(const server_load&) const = default;
};

/// What a backend server says of itself in the head of an answer.
struct server_notice
{
    std::optional<server_load> load;
    /// Requests per second that it takes from all instances together; empty if
    /// it names no limit.
    std::optional<double> rate_limit;
    /// It names a limit that can't be read, so `rate_limit` says nothing.
    bool is_rate_limit_invalid = false;
    /// It is about to leave and wants no further requests.
    bool is_leaving = false;
    /// It wants nothing from this instance for so long; empty if it does not
    /// say so.
    std::optional<absl::Duration> quiet_time;
    bool is_quiet_time_invalid = false;
    std::partial_ordering operator<=>(const server_notice&) const = default;
};

} // namespace oriolefall::dispatch

#endif
