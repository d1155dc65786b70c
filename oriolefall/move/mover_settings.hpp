#ifndef ORIOLEFALL_MOVE_MOVER_SETTINGS_HPP
#define ORIOLEFALL_MOVE_MOVER_SETTINGS_HPP

#include "oriolefall/leasing/lease.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::move {

/// Constant during the lifetime of a `mover`.
struct mover_settings
{
    leasing::lease_settings lease;
    /// Longest time from sending a command until it takes effect at a server. A
    /// new lease holder waits this long before it sends commands to servers
    /// that do not check fencing numbers.
    absl::Duration command_timeout = absl::Seconds(5);
    /// A command is sent again at this interval both before and after it is
    /// carried out, so that a delayed command of an earlier holder has no
    /// lasting effect.
    absl::Duration command_interval = absl::Seconds(5);
    /// Minimum time between two loads: the rate limit of the weight store.
    absl::Duration load_interval = absl::Seconds(2);
    /// Percentages of their slots that arriving servers use one after the
    /// other; the last is 100.
    std::vector<std::uint32_t> slot_percents{10, 25, 50, 100};
    /// Minimum time at one percentage.
    absl::Duration min_step_time = absl::Seconds(20);
    /// Number of answers needed to evaluate the attainment of a class.
    std::uint64_t min_answers = 20;
    /// Longest wait for that many answers, so that a class without traffic
    /// does not block a move.
    absl::Duration max_answer_wait = absl::Minutes(2);
    /// Offset from the process's own clock to the wall clock. Added to `now`
    /// for the times in the history, which other instances read.
    absl::Duration wall_clock_offset = absl::ZeroDuration();
    /// Minimum share of answers that meet their target, 0 to 1.
    double min_attainment = 0.95;
    std::partial_ordering operator<=>(const mover_settings&) const = default;
};

} // namespace oriolefall::move

#endif
