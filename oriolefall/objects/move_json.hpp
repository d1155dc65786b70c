#ifndef ORIOLEFALL_OBJECTS_MOVE_JSON_HPP
#define ORIOLEFALL_OBJECTS_MOVE_JSON_HPP

#include "oriolefall/core/settings_error.hpp"
#include "oriolefall/leasing/lease.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/settings/setting.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// Path of a move: in the settings subtree of its team, so that it reaches
/// every instance the way settings do.
[[nodiscard]] std::string move_path(const core::team_name& team,
                                    const core::move_name& name);
/// Path of the lease of a move: outside the settings, which it would otherwise
/// change every few seconds.
[[nodiscard]] std::string move_lease_path(const core::team_name& team,
                                          const core::move_name& name);

/// JSON text of a move. Thread-safe.
[[nodiscard]] std::string print_move(const move::move_object& value);
/// Parses JSON with comments, written by an operator or by `print_move`.
/// Returns all errors at once. Thread-safe.
[[nodiscard]] std::variant<move::move_object, std::vector<core::settings_error>>
parse_move(std::string_view text);

[[nodiscard]] std::string print_lease(const leasing::lease& value);
[[nodiscard]] std::optional<leasing::lease>
parse_lease(const std::string& text);

/// Descriptions of the fields of a move, in the order in which the parser reads
/// them.
[[nodiscard]] std::vector<settings::setting_description> describe_move();

} // namespace oriolefall::objects

#endif
