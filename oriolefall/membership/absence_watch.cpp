#include "oriolefall/membership/absence_watch.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::membership {

absence_watch::absence_watch(absl::Duration removed_after)
    : removed_after_(removed_after)
{
}

std::vector<core::instance_id>
absence_watch::take(absl::Time now, const core::instance_id& self,
                    const std::vector<member>& listed,
                    const std::vector<member>& known)
{
    const auto is_alive = [&](const core::instance_id& id) {
        return id == self ||
               std::ranges::any_of(known, [&id](const member& each) {
                   return each.id == id && was_heard(each);
               });
    };
    std::map<core::instance_id, absl::Time> absent;
    bool is_first = true;
    for (const member& each : listed) {
        if (!is_alive(each.id)) {
            const auto found = absent_since_.find(each.id);
            absent.emplace(each.id,
                           found == absent_since_.end() ? now : found->second);
        } else if (each.id < self) {
            is_first = false;
        }
    }
    absent_since_ = std::move(absent);
    std::vector<core::instance_id> removed;
    // Whoever hears nobody may be cut off itself.
    const bool hears_others =
        std::ranges::any_of(known, [&self](const member& each) {
            return each.id != self && was_heard(each);
        });
    if (!is_first || !hears_others)
        return removed;
    for (const auto& [id, since] : absent_since_)
        if (now - since >= removed_after_)
            removed.push_back(id);
    return removed;
}

} // namespace oriolefall::membership
