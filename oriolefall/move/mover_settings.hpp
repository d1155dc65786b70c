#ifndef ORIOLEFALL_MOVE_MOVER_SETTINGS_HPP
#define ORIOLEFALL_MOVE_MOVER_SETTINGS_HPP

#include "oriolefall/move/lease.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::move {

/// Fixed for the life of a `mover`.
struct mover_settings
{
    lease_settings lease;
    /// Longest time from sending an order to its effect at a server. A new
    /// holder waits as long before it orders servers that ignore fencing.
    absl::Duration order_limit = absl::Seconds(5);
    /// An order is repeated this often until, and after, it is carried out,
    /// so that a late order of an earlier holder does not last.
    absl::Duration order_repeat = absl::Seconds(5);
    /// The weight store's rate limit: time from one load to the next.
    absl::Duration load_interval = absl::Seconds(2);
    /// Shares of their slots that arriving servers take one after the other,
    /// in percent; the last is 100.
    std::vector<std::uint32_t> percents{10, 25, 50, 100};
    /// Shortest time at one share.
    absl::Duration step_hold = absl::Seconds(20);
    /// Answers needed to judge a class.
    std::uint64_t fewest_answers = 20;
    /// Longest wait for that many answers; a class without traffic does not
    /// hold up a move.
    absl::Duration longest_judgement = absl::Minutes(2);
    /// Added to `now` for the times in the history, which other instances
    /// read: from the process's own time to that of the calendar.
    absl::Duration to_calendar = absl::ZeroDuration();
    /// Lowest share of answers within their target, 0 to 1.
    double attainment_floor = 0.95;
    std::partial_ordering operator<=>(const mover_settings&) const = default;
};

} // namespace oriolefall::move

#endif
