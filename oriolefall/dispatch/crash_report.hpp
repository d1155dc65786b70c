#ifndef ORIOLEFALL_DISPATCH_CRASH_REPORT_HPP
#define ORIOLEFALL_DISPATCH_CRASH_REPORT_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::dispatch {

/// One incarnation of a backend server.
struct server_incarnation
{
    core::backend_server_id server;
    std::int64_t started_at_ms = 0;
    auto operator<=>(const server_incarnation&) const = default;
};

/// A backend server seems to have crashed: it closed connections before it
/// answered.
struct reported_crash
{
    server_incarnation server;
    /// Time since the crash.
    absl::Duration age = absl::ZeroDuration();
    /// Ids of the prompt parts of the calls that it had not begun to answer,
    /// in ascending order.
    std::vector<std::uint64_t> parts;
    /// The server has answered since, so it had not crashed.
    bool is_refuted = false;
    std::strong_ordering operator<=>(const reported_crash&) const = default;
};

/// A prompt part that was in a request which a server answered.
struct answered_part
{
    std::uint64_t part = 0;
    /// Time since the most recent answer.
    absl::Duration age = absl::ZeroDuration();
    std::strong_ordering operator<=>(const answered_part&) const = default;
};

/// What one instance tells the others of crashes of servers and of the prompt
/// parts that may have caused them. Delivery is best-effort, in any order.
struct crash_report
{
    std::vector<reported_crash> crashes;
    std::vector<answered_part> answered;
    auto operator<=>(const crash_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif
