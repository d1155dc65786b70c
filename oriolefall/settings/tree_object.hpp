#ifndef ORIOLEFALL_SETTINGS_TREE_OBJECT_HPP
#define ORIOLEFALL_SETTINGS_TREE_OBJECT_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// Every settings path starts with it.
inline constexpr std::string_view tree_root = "/teams/";

/// One object of the settings tree. Objects are never deleted, only replaced
/// by an empty one, so that a missing object tells nothing.
struct tree_object
{
    /// "/teams/TEAM/NAME", possibly with more parts.
    std::string path;
    /// Version that the platform gave it; later is higher.
    std::uint64_t version = 0;
    /// JSON text of an object.
    std::string value;
    auto operator<=>(const tree_object&) const = default;
};

/// That an object has a version; what instances tell each other.
struct path_version
{
    std::string path;
    std::uint64_t version = 0;
    auto operator<=>(const path_version&) const = default;
};

/// Newest version of any object in a team's subtree.
struct team_version
{
    core::team_name team;
    std::uint64_t version = 0;
    auto operator<=>(const team_version&) const = default;
};

/// The team whose subtree holds `path`; nothing when the path is not
/// "/teams/TEAM/NAME" of letters, digits, '.', '_' and '-'. Any thread.
[[nodiscard]] std::optional<core::team_name> team_of(std::string_view path);

/// True for "/teams/TEAM/moves/NAME": a move, not a part of the deployment. It
/// stands in the tree so that it spreads like all settings. Any thread.
[[nodiscard]] bool is_move_path(std::string_view path);

} // namespace oriolefall::settings

#endif
