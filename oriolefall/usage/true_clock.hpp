#ifndef ORIOLEFALL_USAGE_TRUE_CLOCK_HPP
#define ORIOLEFALL_USAGE_TRUE_CLOCK_HPP

#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>

namespace oriolefall::usage {

/// Estimates the true time. Anchored to the time of day at start; goes on with
/// monotonic time, so that later jumps of the time of day change nothing. Not
/// thread-safe.
class true_clock
{
public:
    /// `time_of_day` was read at the monotonic time `started_at`.
    true_clock(absl::Time time_of_day, absl::Time started_at);

    /// The estimate at the monotonic time `now`.
    [[nodiscard]] absl::Time at(absl::Time now) const;
    /// The same without the correction by peers. Sent to them: if the corrected
    /// time were sent, the latency of messages would add up without end.
    [[nodiscard]] absl::Time uncorrected(absl::Time now) const;
    /// Zero until three or more peers are known, and while their median offset
    /// is within the latency of messages.
    [[nodiscard]] absl::Duration correction() const;
    /// A message of a peer was received at `now` that was sent at its
    /// uncorrected time `sent_at`.
    void record_peer(const core::instance_id& peer, std::uint64_t incarnation,
                     absl::Time sent_at, absl::Time now);

private:
    struct peer_offset
    {
        std::uint64_t incarnation = 0;
        absl::Duration offset;
        std::uint32_t messages = 1;
    };

    void update_correction();

    absl::Time time_of_day_;
    absl::Time started_at_;
    absl::Duration correction_ = absl::ZeroDuration();
    std::map<core::instance_id, peer_offset> peers_;
};

} // namespace oriolefall::usage

#endif
