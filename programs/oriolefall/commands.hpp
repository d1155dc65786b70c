#ifndef ORIOLEFALL_PROGRAMS_COMMANDS_HPP
#define ORIOLEFALL_PROGRAMS_COMMANDS_HPP

#include "programs/oriolefall/command.hpp"

#include <vector>

namespace oriolefall::programs {

/// Each has a source file of its own, named after it.
[[nodiscard]] command check_command();
[[nodiscard]] command entry_command();
[[nodiscard]] command explain_command();
[[nodiscard]] command instance_command();
[[nodiscard]] command move_command();
[[nodiscard]] command serve_command();
[[nodiscard]] command settings_command();
[[nodiscard]] command status_command();

/// All subcommands, in the order of the help.
[[nodiscard]] std::vector<command> all_commands();

} // namespace oriolefall::programs

#endif
