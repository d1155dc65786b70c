#ifndef ORIOLEFALL_FOLLOW_STORED_OBJECT_HPP
#define ORIOLEFALL_FOLLOW_STORED_OBJECT_HPP

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::follow {

/// One object of a collection in the store.
struct stored_object
{
    std::string name;
    /// Store-wide number of its last change.
    std::uint64_t revision = 0;
    /// JSON text of what its writer put there.
    std::string value;
    auto operator<=>(const stored_object&) const = default;
};

/// Part of a list of a collection.
struct list_page
{
    std::vector<stored_object> objects;
    /// More follow after the last name.
    bool has_more = false;
    /// Revision that the list is of.
    std::uint64_t revision = 0;
    auto operator<=>(const list_page&) const = default;
};

struct object_change
{
    stored_object object;
    bool deleted = false;
    auto operator<=>(const object_change&) const = default;
};

/// What has changed since the revision that was asked from.
struct change_list
{
    std::vector<object_change> changes;
    /// Revision to go on from.
    std::uint64_t revision = 0;
    auto operator<=>(const change_list&) const = default;
};

/// The store has dropped the changes since that revision.
struct history_gone
{
    auto operator<=>(const history_gone&) const = default;
};

/// No answer, a refusal, or one that can't be read.
struct call_failed
{
    /// "timeout", "status 503" and the like, for the log.
    std::string cause;
    auto operator<=>(const call_failed&) const = default;
};

using call_result =
    std::variant<list_page, change_list, history_gone, call_failed>;

/// Reads a page of the collection.
struct list_call
{
    std::string collection;
    /// Last name of the page before; empty for the first.
    std::string after;
    /// The answer may be seconds old.
    bool may_be_stale = false;
    auto operator<=>(const list_call&) const = default;
};

/// Waits for changes.
struct watch_call
{
    std::string collection;
    std::uint64_t from_revision = 0;
    absl::Duration wait;
    std::strong_ordering operator<=>(const watch_call&) const = default;
};

using read_call = std::variant<list_call, watch_call>;

} // namespace oriolefall::follow

#endif
