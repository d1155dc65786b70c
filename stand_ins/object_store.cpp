#include "stand_ins/object_store.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace oriolefall::stand_ins {

write_result object_store::write(const std::string& path,
                                 std::optional<std::string> value,
                                 const write_condition& condition)
{
    const std::uint64_t current = current_version(path);
    const bool differs = condition.version && *condition.version != current;
    if (differs || (condition.absent && current != 0))
        return write_conflict{current};
    record& entry = records_[path];
    entry.previous = std::exchange(
        entry.newest, object_version{path, ++revision_, std::move(value)});
    changes_.push_back(entry.newest);
    if (changes_.size() > history_) {
        forgotten_ = changes_.front().version;
        changes_.pop_front();
    }
    return write_done{revision_};
}

std::optional<object_version> object_store::read(const std::string& path,
                                                 freshness wanted) const
{
    const auto found = records_.find(path);
    if (found == records_.end())
        return std::nullopt;
    const object_version& version = wanted == freshness::newest
                                        ? found->second.newest
                                        : found->second.previous;
    if (!version.value)
        return std::nullopt;
    return version;
}

std::vector<object_version> object_store::list(std::string_view prefix,
                                               freshness wanted) const
{
    std::vector<object_version> found;
    for (auto at = records_.lower_bound(prefix);
         at != records_.end() && at->first.starts_with(prefix); ++at) {
        if (auto version = read(at->first, wanted))
            found.push_back(std::move(*version));
    }
    return found;
}

std::optional<std::vector<object_version>>
object_store::changes_since(std::string_view prefix,
                            std::uint64_t revision) const
{
    if (revision < forgotten_)
        return std::nullopt;
    std::vector<object_version> found;
    std::ranges::copy_if(
        changes_, std::back_inserter(found), [&](const object_version& change) {
            return change.version > revision && change.path.starts_with(prefix);
        });
    return found;
}

std::uint64_t object_store::current_version(const std::string& path) const
{
    const auto found = records_.find(path);
    if (found == records_.end() || !found->second.newest.value)
        return 0;
    return found->second.newest.version;
}

} // namespace oriolefall::stand_ins
