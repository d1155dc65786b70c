#ifndef ORIOLEFALL_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define ORIOLEFALL_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/membership/membership_settings.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolefall::membership {

/// Detects monitored peers that have sent no message within their timeout.
/// Timeouts follow a local health measure, after SWIM (Das, Gupta, Motivala,
/// DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018): an instance
/// that receives nothing from most of its peers assumes that it is itself at
/// fault and waits longer, and so does one whose suspicions are refuted. For
/// use by one thread at a time.
class failure_detector
{
public:
    explicit failure_detector(const membership_settings& settings);

    /// Replaces the set of monitored peers. Peers that were not monitored
    /// before start with a full timeout.
    void monitor(absl::Time now, const std::vector<core::instance_id>& peers);
    /// Records a message that was received from the peer itself.
    void record_message(absl::Time now, const core::instance_id& peer);
    /// Records that the peer refuted a suspicion, and lengthens its timeout:
    /// others receive its messages, this instance may not.
    void record_refutation(absl::Time now, const core::instance_id& peer);
    /// Extends all deadlines by the time for which this instance was itself
    /// paused and could not receive messages.
    void extend_deadlines(absl::Duration pause);
    /// Peers that have sent no message within their timeout.
    [[nodiscard]] std::vector<core::instance_id>
    overdue_peers(absl::Time now) const;
    [[nodiscard]] bool is_monitored(const core::instance_id& peer) const;

private:
    struct monitored_peer
    {
        absl::Time last_message_at;
        absl::Duration timeout;
    };

    /// True when most peers are overdue, so that the fault is likely here.
    [[nodiscard]] bool is_own_health_low(absl::Time now) const;

    absl::Duration heartbeat_timeout_;
    absl::Duration max_heartbeat_timeout_;
    std::map<core::instance_id, monitored_peer> peers_;
};

} // namespace oriolefall::membership

#endif
