#ifndef ORIOLEFALL_PROGRAMS_SUBCOMMANDS_HPP
#define ORIOLEFALL_PROGRAMS_SUBCOMMANDS_HPP

#include "programs/oriolefall/platform_access.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oriolefall::programs {

/// One action of a command that works on the platform's objects, such as
/// "get" of "settings get".
struct subcommand
{
    std::string name;
    /// Arguments as the usage shows them, such as "PATH FILE".
    std::string usage;
    std::string description;
    /// Names under which `run` finds the arguments, in their order; all are
    /// required.
    std::vector<std::string> arguments;
    std::function<int(const boost::program_options::variables_map&,
                      const platform_access&)>
        run;
    /// Options beside those of every action.
    boost::program_options::options_description options{};
};

/// Carries out the action that the first argument names; the exit status.
/// `--help` lists the actions, or tells about one.
int run_subcommand(const std::string& command,
                   const std::vector<subcommand>& actions,
                   const std::vector<std::string>& arguments);

} // namespace oriolefall::programs

#endif
