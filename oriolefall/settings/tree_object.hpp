#ifndef ORIOLEFALL_SETTINGS_TREE_OBJECT_HPP
#define ORIOLEFALL_SETTINGS_TREE_OBJECT_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// The prefix of every path in the settings tree.
inline constexpr std::string_view tree_root = "/teams/";

/// One object of the settings tree. Objects are never deleted, only replaced
/// by empty ones, so that the absence of an object carries no information.
struct tree_object
{
    /// "/teams/TEAM/NAME", possibly with more segments.
    std::string path;
    /// Version assigned by the platform; increases with each write.
    std::uint64_t version = 0;
    /// Text of a JSON object.
    std::string value;
    auto operator<=>(const tree_object&) const = default;
};

/// The version of an object, as instances report it to each other.
struct path_version
{
    std::string path;
    std::uint64_t version = 0;
    auto operator<=>(const path_version&) const = default;
};

/// The highest version of any object in a team's subtree.
struct team_version
{
    core::team_name team;
    std::uint64_t version = 0;
    auto operator<=>(const team_version&) const = default;
};

/// The team whose subtree contains `path`; nullopt unless the path is
/// "/teams/TEAM/NAME", possibly with more segments, of letters, digits, '.',
/// '_' and '-'. Thread-safe.
[[nodiscard]] std::optional<core::team_name> team_of(std::string_view path);

/// Whether `path` is "/teams/TEAM/moves/NAME". Moves are not part of the
/// deployment; they are stored in the tree so that they are replicated like
/// all settings. Thread-safe.
[[nodiscard]] bool is_move_path(std::string_view path);

} // namespace oriolefall::settings

#endif
