#ifndef ORIOLEFALL_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define ORIOLEFALL_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/membership/membership_settings.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolefall::membership {

/// Finds out which of the chosen peers have been silent for too long. Limits
/// on silence with a local health measure, after SWIM (Das, Gupta, Motivala,
/// DSN 2002) and Lifeguard (Dadgar, Phillips, Currey, DSN-W 2018): an instance
/// that hears nothing from most of its peers doubts itself first, and so does
/// one whose suspicions are contradicted. One thread at a time.
class failure_detector
{
public:
    explicit failure_detector(const membership_settings& settings);

    /// Listens to exactly these from now on; those new get full patience.
    void watch(absl::Time now, const std::vector<core::instance_id>& peers);
    /// A message came from this peer itself.
    void heard(absl::Time now, const core::instance_id& peer);
    /// A suspicion was contradicted: others hear it, this instance may not.
    void contradicted(absl::Time now, const core::instance_id& peer);
    /// This instance was paused: its silence says nothing about the others.
    void excuse(absl::Duration gap);
    /// Peers that have been silent beyond their limit.
    [[nodiscard]] std::vector<core::instance_id> silent(absl::Time now) const;
    [[nodiscard]] bool watches(const core::instance_id& peer) const;

private:
    struct watched
    {
        absl::Time heard;
        absl::Duration patience;
    };

    [[nodiscard]] bool doubts_itself(absl::Time now) const;

    absl::Duration suspect_after_;
    absl::Duration longest_patience_;
    std::map<core::instance_id, watched> peers_;
};

} // namespace oriolefall::membership

#endif
