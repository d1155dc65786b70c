#ifndef ORIOLEFALL_FOLLOW_VIEW_MESSAGE_HPP
#define ORIOLEFALL_FOLLOW_VIEW_MESSAGE_HPP

#include "oriolefall/follow/stored_object.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolefall::follow {

/// A collection and the revision up to which an instance knows it.
struct collection_revision
{
    std::string collection;
    std::uint64_t revision = 0;
    /// Era of the store to which the revision belongs.
    std::uint64_t epoch = 0;
    auto operator<=>(const collection_revision&) const = default;
};

/// Asks an instance for what it knows of collections beyond these revisions.
struct view_query
{
    /// Chosen by the sender and copied into the answer.
    std::uint64_t query_id = 0;
    std::vector<collection_revision> collections;
    auto operator<=>(const view_query&) const = default;
};

/// What the sender knows of one collection.
struct collection_update
{
    std::string collection;
    /// Revision of the query; the changes since then follow.
    std::uint64_t from_revision = 0;
    /// Revision up to which the sender knows the collection.
    std::uint64_t revision = 0;
    /// The changes are all objects of the collection, whatever the revision of
    /// the query.
    bool is_snapshot = false;
    std::vector<object_change> changes;
    /// Time since the store confirmed that nothing newer exists.
    absl::Duration age = absl::InfiniteDuration();
    /// Time since the store became reachable again; infinite if it has been
    /// reachable all the time.
    absl::Duration reachable_for = absl::InfiniteDuration();
    /// Era of the store to which all revisions here belong.
    std::uint64_t epoch = 0;
    std::strong_ordering operator<=>(const collection_update&) const = default;
};

/// Answers `view_query`.
struct view_update
{
    std::uint64_t query_id = 0;
    std::vector<collection_update> collections;
    std::strong_ordering operator<=>(const view_update&) const = default;
};

} // namespace oriolefall::follow

#endif
