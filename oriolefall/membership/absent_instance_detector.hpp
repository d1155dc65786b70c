#ifndef ORIOLEFALL_MEMBERSHIP_ABSENT_INSTANCE_DETECTOR_HPP
#define ORIOLEFALL_MEMBERSHIP_ABSENT_INSTANCE_DETECTOR_HPP

#include "oriolefall/membership/member.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolefall::membership {

/// Finds instances that are listed on the platform but have not taken part in
/// gossip for a long time, so that their entries can be removed from the
/// platform. An instance that is still running announces itself again. For use
/// by one thread.
class absent_instance_detector
{
public:
    /// `removal_delay`: time for which an instance must be absent. Choose it
    /// longer than any outage from which an instance recovers by itself.
    explicit absent_instance_detector(
        absl::Duration removal_delay = absl::Minutes(10));

    /// Processes a full list from the platform together with the known members
    /// and returns the instances to remove. Only the running instance with the
    /// lowest id returns any, so that each entry is removed once.
    [[nodiscard]] std::vector<core::instance_id>
    update(absl::Time now, const core::instance_id& self,
           const std::vector<member>& listed, const std::vector<member>& known);

private:
    absl::Duration removal_delay_;
    std::map<core::instance_id, absl::Time> absent_since_;
};

} // namespace oriolefall::membership

#endif
