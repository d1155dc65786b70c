#ifndef ORIOLEFALL_FOLLOW_DELETION_LOG_HPP
#define ORIOLEFALL_FOLLOW_DELETION_LOG_HPP

#include "oriolefall/follow/stored_object.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriolefall::follow {

/// The latest deletions of a collection, so that peers can be sent the changes
/// since a revision in place of the whole collection. Not thread-safe.
class deletion_log
{
public:
    explicit deletion_log(std::size_t capacity);

    /// Forgets all deletions: those up to `revision` are unknown.
    void restart(std::uint64_t revision);
    /// `known_at`: store revision at which the deletion was reported.
    void record(const object_change& deletion, std::uint64_t known_at);

    /// Whether all deletions after `revision` are in the log.
    [[nodiscard]] bool covers(std::uint64_t revision) const;
    /// Whether the log has a deletion that undoes this state of an object.
    [[nodiscard]] bool is_deleted(const stored_object& object) const;
    /// The deletions that were reported after `revision`.
    [[nodiscard]] std::vector<object_change>
    since(std::uint64_t revision) const;

private:
    void forget_oldest();

    std::size_t capacity_;
    /// Deletions up to this revision are unknown.
    std::uint64_t start_revision_ = 0;
    /// By the store revision at which they were reported.
    std::multimap<std::uint64_t, object_change> deletions_;
    /// Revision of the last deletion of each object in the log, by its name.
    std::map<std::string, std::uint64_t> last_deletions_;
};

} // namespace oriolefall::follow

#endif
