#include "oriolefall/dispatch/answered_parts.hpp"

#include <algorithm>

namespace oriolefall::dispatch {

answered_parts::answered_parts(std::size_t capacity) : capacity_(capacity) {}

void answered_parts::record(std::uint64_t part, absl::Time answered_at)
{
    const auto found = index_.find(part);
    if (found != index_.end()) {
        entries_.splice(entries_.begin(), entries_, found->second);
        absl::Time& known = found->second->second;
        known = std::max(known, answered_at);
        return;
    }
    entries_.emplace_front(part, answered_at);
    index_.emplace(part, entries_.begin());
    if (entries_.size() <= capacity_)
        return;
    index_.erase(entries_.back().first);
    entries_.pop_back();
}

absl::Time answered_parts::last_answer(std::uint64_t part) const
{
    const auto found = index_.find(part);
    return found == index_.end() ? absl::InfinitePast() : found->second->second;
}

} // namespace oriolefall::dispatch
