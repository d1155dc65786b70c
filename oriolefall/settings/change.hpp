#ifndef ORIOLEFALL_SETTINGS_CHANGE_HPP
#define ORIOLEFALL_SETTINGS_CHANGE_HPP

#include "oriolefall/settings/assembly.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::settings {

/// A team asks to replace one object of its subtree.
struct change
{
    core::team_name team;
    /// Shows that the request comes from the team.
    std::string key;
    std::string path;
    /// JSON with comments.
    std::string text;
    /// Version that the object must have, 0 for none; nothing: the one that
    /// the platform gives now.
    std::optional<std::uint64_t> expected_version;
    auto operator<=>(const change&) const = default;
};

/// Why a change was not accepted. Each is a counter.
enum class change_refusal : std::uint8_t
{
    unknown_team,    ///< no key is known for the team
    wrong_key,       ///< the key is not the team's
    outside_subtree, ///< the path is not in the team's subtree
    invalid,         ///< the settings would have faults
    conflict,        ///< the object was changed by someone else
    too_large,       ///< the platform does not take the value
    unavailable,     ///< the platform cannot be reached; nothing was changed
    unknown_outcome  ///< the change may have been made: read it back
};

inline constexpr std::size_t change_refusal_count = 8;

/// The name used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(change_refusal value);

struct change_refused
{
    change_refusal reason = change_refusal::invalid;
    /// For `invalid`: everything that is wrong.
    std::vector<tree_fault> faults;
    /// For `conflict`: the version that the object has, 0 when not known.
    std::uint64_t version = 0;
    auto operator<=>(const change_refused&) const = default;
};

/// A change that may be written: comments are gone from its value.
struct change_checked
{
    std::string value;
    auto operator<=>(const change_checked&) const = default;
};

/// Whether the team with this key may write `path`; nothing when it may. Any
/// thread.
[[nodiscard]] std::optional<change_refusal>
check_team(const team_key& claimed, std::string_view path,
           std::span<const team_key> keys);

/// Whether `wanted` may be written over `current`, the whole tree. A change is
/// refused for every fault that it would add, in its own subtree or another;
/// faults that were there before do not count. Any thread.
[[nodiscard]] std::variant<change_checked, change_refused>
check_change(const change& wanted, std::span<const tree_object> current,
             std::span<const team_key> keys);

} // namespace oriolefall::settings

#endif
