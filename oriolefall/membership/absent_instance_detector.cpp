#include "oriolefall/membership/absent_instance_detector.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::membership {

absent_instance_detector::absent_instance_detector(absl::Duration removal_delay)
    : removal_delay_(removal_delay)
{
}

std::vector<core::instance_id>
absent_instance_detector::update(absl::Time now, const core::instance_id& self,
                                 const std::vector<member>& listed,
                                 const std::vector<member>& known)
{
    const auto is_running = [&](const core::instance_id& id) {
        return id == self ||
               std::ranges::any_of(known, [&id](const member& each) {
                   return each.id == id && is_known_by_gossip(each);
               });
    };
    std::map<core::instance_id, absl::Time> absent;
    bool has_lowest_id = true;
    for (const member& each : listed) {
        if (!is_running(each.id)) {
            const auto found = absent_since_.find(each.id);
            absent.emplace(each.id,
                           found == absent_since_.end() ? now : found->second);
        } else if (each.id < self) {
            has_lowest_id = false;
        }
    }
    absent_since_ = std::move(absent);
    std::vector<core::instance_id> removable;
    // An instance that knows no other running one may itself be partitioned
    // from the fleet.
    const bool knows_others =
        std::ranges::any_of(known, [&self](const member& each) {
            return each.id != self && is_known_by_gossip(each);
        });
    if (!has_lowest_id || !knows_others)
        return removable;
    for (const auto& [id, since] : absent_since_)
        if (now - since >= removal_delay_)
            removable.push_back(id);
    return removable;
}

} // namespace oriolefall::membership
