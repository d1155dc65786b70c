#ifndef ORIOLEFALL_PROGRAMS_COMMAND_HPP
#define ORIOLEFALL_PROGRAMS_COMMAND_HPP

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::programs {

/// Exit status of a command that succeeded.
inline constexpr int exit_success = 0;
/// Exit status of a command that failed, for example because the instance is
/// unreachable.
inline constexpr int exit_failure = 1;
/// Exit status for invalid arguments or an invalid settings file.
inline constexpr int exit_bad_input = 2;

/// One command of the program, such as "check".
struct command
{
    std::string_view name;
    /// One line in the help of the program.
    std::string_view summary;
    /// Runs the command with the arguments after its name and returns the
    /// exit status.
    std::function<int(const std::vector<std::string>& arguments)> run;
};

} // namespace oriolefall::programs

#endif
