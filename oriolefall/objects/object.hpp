#ifndef ORIOLEFALL_OBJECTS_OBJECT_HPP
#define ORIOLEFALL_OBJECTS_OBJECT_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// One object of the platform's store.
struct stored_object
{
    std::string path;
    /// Version of the last write. Versions increase across the whole store.
    std::uint64_t version = 0;
    /// Text of a JSON object, without the keys that the client adds.
    std::string value;
    /// Identifies the write that created this version; empty when another
    /// program wrote it.
    std::string write_id;
    /// Version that this write replaced, 0 when it created the object; empty
    /// when the writer did not state it.
    std::optional<std::uint64_t> replaced_version;
    auto operator<=>(const stored_object&) const = default;
};

/// A change to one object; `object` is empty after a deletion.
struct object_change
{
    std::string path;
    std::uint64_t version = 0;
    std::optional<stored_object> object;
    auto operator<=>(const object_change&) const = default;
};

/// Snapshot of all objects under a prefix.
struct object_list
{
    /// Changes after this revision are not in the list.
    std::uint64_t revision = 0;
    std::vector<stored_object> objects;
    auto operator<=>(const object_list&) const = default;
};

/// Changes after a revision; empty when the watch timed out without any.
struct object_changes
{
    std::uint64_t revision = 0;
    std::vector<object_change> changes;
    auto operator<=>(const object_changes&) const = default;
};

/// An instance in the platform's list, which lags behind.
struct listed_instance
{
    core::instance_id id;
    core::endpoint endpoint;
    /// Port for links from other instances, at the same address; 0 when it is
    /// unknown.
    std::uint16_t peer_port = 0;
    core::location location;
    /// True while the instance shuts down.
    bool leaving = false;
    auto operator<=>(const listed_instance&) const = default;
};

/// The write applies only if the object is absent.
struct if_absent
{
    auto operator<=>(const if_absent&) const = default;
};

/// The write applies only if the object has this version.
struct if_version
{
    std::uint64_t version = 0;
    auto operator<=>(const if_version&) const = default;
};

/// The write applies unconditionally; for objects with a single writer.
struct always
{
    auto operator<=>(const always&) const = default;
};

using write_condition = std::variant<if_absent, if_version, always>;

/// Version that the condition requires, 0 for an absent object; empty when any
/// version is accepted.
[[nodiscard]] std::optional<std::uint64_t>
expected_version(const write_condition& condition);

} // namespace oriolefall::objects

#endif
