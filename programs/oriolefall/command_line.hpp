#ifndef ORIOLEFALL_PROGRAMS_COMMAND_LINE_HPP
#define ORIOLEFALL_PROGRAMS_COMMAND_LINE_HPP

#include <boost/program_options.hpp>

#include <string>
#include <variant>
#include <vector>

namespace oriolefall::programs {

/// What a subcommand takes.
struct command_line
{
    /// The words after "oriolefall", such as "check [--instance] FILE...".
    std::string usage;
    /// A paragraph for `--help`.
    std::string description;
    boost::program_options::options_description options{"Options"};
    /// Options that are given by position; not listed by `--help`.
    boost::program_options::options_description positional_options;
    boost::program_options::positional_options_description positions;
};

/// The subcommand has nothing to do: end with this status.
struct ended
{
    int exit_status;
};

/// Parses arguments. `--help` is answered on standard output, a fault by one
/// line on standard error; both give `ended`.
[[nodiscard]] std::variant<boost::program_options::variables_map, ended>
parse_command_line(const command_line& line,
                   const std::vector<std::string>& arguments);

/// Prints one line about `command` on standard error; gives the exit status
/// of wrong input.
int report_bad_input(const std::string& command, const std::string& fault);

} // namespace oriolefall::programs

#endif
