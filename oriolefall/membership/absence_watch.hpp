#ifndef ORIOLEFALL_MEMBERSHIP_ABSENCE_WATCH_HPP
#define ORIOLEFALL_MEMBERSHIP_ABSENCE_WATCH_HPP

#include "oriolefall/membership/member.hpp"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace oriolefall::membership {

/// Finds instances that the platform's list names but nobody has heard for
/// long, so that what they left there can be removed. One that lives after all
/// announces itself again. One thread.
class absence_watch
{
public:
    /// `removed_after`: longer than any outage after which an instance comes
    /// back by itself.
    explicit absence_watch(absl::Duration removed_after = absl::Minutes(10));

    /// Takes a whole list and the members that are known; gives those to be
    /// removed. Only the instance with the least id of those alive gives any,
    /// so that they are removed once.
    [[nodiscard]] std::vector<core::instance_id>
    take(absl::Time now, const core::instance_id& self,
         const std::vector<member>& listed, const std::vector<member>& known);

private:
    absl::Duration removed_after_;
    std::map<core::instance_id, absl::Time> absent_since_;
};

} // namespace oriolefall::membership

#endif
