#include "oriolefall/follow/deletion_log.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::follow {

deletion_log::deletion_log(std::size_t capacity) : capacity_(capacity) {}

void deletion_log::restart(std::uint64_t revision)
{
    start_revision_ = revision;
    deletions_.clear();
    last_deletions_.clear();
}

void deletion_log::record(const object_change& deletion, std::uint64_t known_at)
{
    const stored_object& deleted = deletion.object;
    if (is_deleted(deleted))
        return;
    last_deletions_.insert_or_assign(deleted.name, deleted.revision);
    deletions_.emplace(known_at, deletion);
    while (deletions_.size() > capacity_)
        forget_oldest();
}

void deletion_log::forget_oldest()
{
    const auto oldest = deletions_.begin();
    start_revision_ = std::max(start_revision_, oldest->first);
    const stored_object& deleted = oldest->second.object;
    const auto last = last_deletions_.find(deleted.name);
    if (last != last_deletions_.end() && last->second == deleted.revision)
        last_deletions_.erase(last);
    deletions_.erase(oldest);
}

bool deletion_log::is_deleted(const stored_object& object) const
{
    const auto last = last_deletions_.find(object.name);
    return last != last_deletions_.end() && last->second >= object.revision;
}

bool deletion_log::covers(std::uint64_t revision) const
{
    return revision >= start_revision_;
}

std::vector<object_change> deletion_log::since(std::uint64_t revision) const
{
    std::vector<object_change> found;
    std::ranges::transform(deletions_.upper_bound(revision), deletions_.end(),
                           std::back_inserter(found),
                           [](const auto& entry) { return entry.second; });
    return found;
}

} // namespace oriolefall::follow
