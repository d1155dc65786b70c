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
    /// Version of its last write; grows over the whole store.
    std::uint64_t version = 0;
    /// JSON text of an object, without the client's own keys.
    std::string value;
    /// Names the write that gave this version; empty when another program
    /// wrote it.
    std::string write_id;
    /// Version that this write replaced, as far as the writer told: 0 when
    /// it created the object.
    std::optional<std::uint64_t> replaced_version;
    auto operator<=>(const stored_object&) const = default;
};

/// A change to one object; nothing as value: it was deleted.
struct object_change
{
    std::string path;
    std::uint64_t version = 0;
    std::optional<stored_object> object;
    auto operator<=>(const object_change&) const = default;
};

/// Every object under a prefix at one moment.
struct object_list
{
    /// Changes after this one are not in the list.
    std::uint64_t revision = 0;
    std::vector<stored_object> objects;
    auto operator<=>(const object_list&) const = default;
};

/// What happened after a revision; empty when the time limit came first.
struct object_changes
{
    std::uint64_t revision = 0;
    std::vector<object_change> changes;
    auto operator<=>(const object_changes&) const = default;
};

/// An instance as the platform lists it; the list lags.
struct listed_instance
{
    core::instance_id id;
    core::endpoint endpoint;
    /// Where it listens for other instances, at the same address; 0 when that
    /// was not told.
    std::uint16_t peer_port = 0;
    core::location location;
    /// True: it is stopping.
    bool leaving = false;
    auto operator<=>(const listed_instance&) const = default;
};

/// A write applies only when the object is absent.
struct if_absent
{
    auto operator<=>(const if_absent&) const = default;
};

/// A write applies only when the object has this version.
struct if_version
{
    std::uint64_t version = 0;
    auto operator<=>(const if_version&) const = default;
};

/// A write always applies; for objects with one writer.
struct always
{
    auto operator<=>(const always&) const = default;
};

using write_condition = std::variant<if_absent, if_version, always>;

/// Version that the write must find, 0 for none; nothing when it takes any.
[[nodiscard]] std::optional<std::uint64_t>
expected_version(const write_condition& condition);

} // namespace oriolefall::objects

#endif
