#ifndef ORIOLEFALL_PROGRAMS_COMMAND_LINE_HPP
#define ORIOLEFALL_PROGRAMS_COMMAND_LINE_HPP

#include <boost/program_options.hpp>

#include <string>
#include <variant>
#include <vector>

namespace oriolefall::programs {

/// Usage, description and options of a command.
struct command_line
{
    /// The usage after "oriolefall", such as "check [--instance] FILE...".
    std::string usage;
    /// The paragraph that `--help` prints below the usage.
    std::string description;
    boost::program_options::options_description options{"Options"};
    /// Arguments that are given by position; `--help` does not list them.
    boost::program_options::options_description positional_options;
    boost::program_options::positional_options_description positions;
};

/// The command ends after parsing, with this exit status.
struct early_exit
{
    int exit_status;
};

/// Parses the arguments of a command. `--help` prints the help on standard
/// output, an invalid argument prints one line on standard error; both return
/// `early_exit`.
[[nodiscard]] std::variant<boost::program_options::variables_map, early_exit>
parse_command_line(const command_line& line,
                   const std::vector<std::string>& arguments);

/// Prints `error` in one line on standard error, with the name of the command
/// and a reference to its help; returns `exit_bad_input`.
int report_bad_input(const std::string& command, const std::string& error);

} // namespace oriolefall::programs

#endif
