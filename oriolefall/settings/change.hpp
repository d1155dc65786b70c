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

/// A team's request to replace one object of its subtree.
struct change
{
    core::team_name team;
    /// The team's secret, which authenticates the request.
    std::string key;
    std::string path;
    /// JSON with comments.
    std::string text;
    /// Version that the object must have; 0 when it must not exist. nullopt:
    /// the version that the platform returns when the change is checked.
    std::optional<std::uint64_t> expected_version;
    auto operator<=>(const change&) const = default;
};

/// Why a change was refused. Each reason has a counter.
enum class change_refusal : std::uint8_t
{
    unknown_team,    ///< no key is configured for the team
    wrong_key,       ///< the key is not the team's
    outside_subtree, ///< the path is not in the team's subtree
    invalid,         ///< the change would add faults to the settings
    conflict,        ///< the object was changed by someone else
    too_large,       ///< the platform does not accept the value
    unavailable,     ///< the platform is unreachable; nothing changed
    unknown_outcome  ///< the change may have been made; read it back
};

inline constexpr std::size_t change_refusal_count = 8;

/// The name used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(change_refusal value);

struct change_refused
{
    change_refusal reason = change_refusal::invalid;
    /// For `invalid`: all faults.
    std::vector<tree_fault> faults;
    /// For `conflict`: the version that the object has, 0 when unknown.
    std::uint64_t version = 0;
    auto operator<=>(const change_refused&) const = default;
};

/// A change that passed all checks; comments are removed from its value.
struct change_checked
{
    std::string value;
    auto operator<=>(const change_checked&) const = default;
};

/// Checks whether the team with this key may write `path`. Returns the reason
/// for a refusal, or nullopt. Thread-safe.
[[nodiscard]] std::optional<change_refusal>
authorize_write(const team_key& claimed, std::string_view path,
                std::span<const team_key> keys);

/// Checks whether `requested` may be applied to `current`, the whole tree. A
/// change is refused for faults in its object and for those that it would add
/// to other objects, whichever team owns them. Faults that other objects had
/// before do not count.
/// Thread-safe.
[[nodiscard]] std::variant<change_checked, change_refused>
check_change(const change& requested, std::span<const tree_object> current,
             std::span<const team_key> keys);

} // namespace oriolefall::settings

#endif
