#ifndef ORIOLEFALL_PROGRAMS_COMMAND_ACTION_HPP
#define ORIOLEFALL_PROGRAMS_COMMAND_ACTION_HPP

#include "programs/oriolefall/platform_access.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oriolefall::programs {

/// An action of a command that reads or writes the platform's objects, such as
/// "get" of "settings get".
struct command_action
{
    std::string name;
    /// The arguments as the usage shows them, such as "PATH FILE".
    std::string usage;
    std::string description;
    /// Names of the positional arguments among the parsed options, in the
    /// order of the command line; all are required.
    std::vector<std::string> arguments;
    std::function<int(const boost::program_options::variables_map&,
                      const platform_access&)>
        run;
    /// Options of this action in addition to those common to all actions.
    boost::program_options::options_description options{};
};

/// Runs the action that the first argument names and returns the exit status.
/// `--help` as the first argument lists the actions; after the name of an
/// action it prints the help of that action.
int run_command_action(const std::string& command,
                       const std::vector<command_action>& actions,
                       const std::vector<std::string>& arguments);

} // namespace oriolefall::programs

#endif
