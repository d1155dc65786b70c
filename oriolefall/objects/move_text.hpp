#ifndef ORIOLEFALL_OBJECTS_MOVE_TEXT_HPP
#define ORIOLEFALL_OBJECTS_MOVE_TEXT_HPP

#include "oriolefall/core/settings_error.hpp"
#include "oriolefall/move/lease.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/settings/setting.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// Where a move is kept: in its team's subtree of the settings, so that it
/// reaches every instance as settings do.
[[nodiscard]] std::string move_path(const core::team_name& team,
                                    const core::move_name& name);
/// Where its lease is kept: outside the settings, which it would change every
/// few seconds.
[[nodiscard]] std::string move_lease_path(const core::team_name& team,
                                          const core::move_name& name);

/// JSON text of a move. Any thread.
[[nodiscard]] std::string print_move(const move::move_object& value);
/// Reads JSON with comments, as an operator or `print_move` writes it; all
/// faults at once. Any thread.
[[nodiscard]] std::variant<move::move_object, std::vector<core::settings_error>>
parse_move(std::string_view text);

[[nodiscard]] std::string print_lease(const move::lease& value);
[[nodiscard]] std::optional<move::lease> parse_lease(const std::string& text);

/// Each setting of a move, in the order of the parser.
[[nodiscard]] std::vector<settings::setting_description> describe_move();

} // namespace oriolefall::objects

#endif
