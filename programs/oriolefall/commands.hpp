#ifndef ORIOLEFALL_PROGRAMS_COMMANDS_HPP
#define ORIOLEFALL_PROGRAMS_COMMANDS_HPP

#include "programs/oriolefall/command.hpp"

#include <vector>

namespace oriolefall::programs {

/// Each command is defined in the source file named after its function.
[[nodiscard]] command check_command();
[[nodiscard]] command entry_command();
[[nodiscard]] command explain_command();
[[nodiscard]] command instance_command();
[[nodiscard]] command move_command();
[[nodiscard]] command serve_command();
[[nodiscard]] command settings_command();
[[nodiscard]] command status_command();

/// All commands, in the order in which the help lists them.
[[nodiscard]] std::vector<command> all_commands();

} // namespace oriolefall::programs

#endif
