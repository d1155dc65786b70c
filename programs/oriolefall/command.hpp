#ifndef ORIOLEFALL_PROGRAMS_COMMAND_HPP
#define ORIOLEFALL_PROGRAMS_COMMAND_HPP

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::programs {

/// Exit statuses of the program.
inline constexpr int exit_done = 0;
/// What was asked for could not be had, such as an instance out of reach.
inline constexpr int exit_failed = 1;
/// Wrong arguments or a file with faults.
inline constexpr int exit_bad_input = 2;

/// One subcommand.
struct command
{
    std::string_view name;
    /// One line for the help of the whole program.
    std::string_view summary;
    /// Carries it out with the arguments after its name; gives the exit
    /// status.
    std::function<int(const std::vector<std::string>& arguments)> run;
};

} // namespace oriolefall::programs

#endif
