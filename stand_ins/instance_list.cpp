#include "stand_ins/instance_list.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace oriolefall::stand_ins {

namespace {
/// Entries replaced longer ago than this are dropped.
constexpr absl::Duration longest_lag = absl::Minutes(5);
} // namespace

void instance_list::tell(absl::Time now, const instance_record& record)
{
    add(now, record.id, {now, record});
}

void instance_list::remove(absl::Time now, const std::string& id)
{
    add(now, id, {now, std::nullopt});
}

std::vector<instance_record> instance_list::at(absl::Time when) const
{
    std::vector<instance_record> live;
    for (const auto& [id, history] : entries_) {
        const auto later =
            std::ranges::upper_bound(history, when, std::less<>{},
                                     [](const entry& e) { return e.told; });
        if (later == history.begin())
            continue;
        const entry& last = *std::prev(later);
        if (last.record && when < last.told + last.record->time_to_live)
            live.push_back(*last.record);
    }
    return live;
}

void instance_list::add(absl::Time now, const std::string& id, entry next)
{
    std::deque<entry>& history = entries_[id];
    history.push_back(std::move(next));
    while (history.size() > 1 && history[1].told < now - longest_lag)
        history.pop_front();
}

} // namespace oriolefall::stand_ins
