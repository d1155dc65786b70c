#include "oriolefall/follow/deletion_log.hpp"

#include <algorithm>
#include <iterator>

namespace oriolefall::follow {

deletion_log::deletion_log(std::size_t capacity) : capacity_(capacity) {}

void deletion_log::restart(std::uint64_t revision)
{
    start_revision_ = revision;
    deletions_.clear();
}

void deletion_log::record(const object_change& deletion, std::uint64_t known_at)
{
    deletions_.emplace(known_at, deletion);
    while (deletions_.size() > capacity_) {
        start_revision_ = std::max(start_revision_, deletions_.begin()->first);
        deletions_.erase(deletions_.begin());
    }
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
