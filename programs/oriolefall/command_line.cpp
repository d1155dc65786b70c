#include "programs/oriolefall/command_line.hpp"

#include "programs/oriolefall/command.hpp"

#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

/// The words of a usage before its first option or argument.
std::string command_name(const std::string& usage)
{
    const std::size_t name_end =
        usage.find_first_of("[-ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    const std::string name = usage.substr(0, name_end);
    return name.substr(0, name.find_last_not_of(' ') + 1);
}

void print_help(const command_line& line, const po::options_description& listed)
{
    std::cout << "Usage: oriolefall " << line.usage << "\n\n"
              << line.description << "\n\n"
              << listed;
}

} // namespace

std::variant<po::variables_map, early_exit>
parse_command_line(const command_line& line,
                   const std::vector<std::string>& arguments)
{
    po::options_description listed(line.options);
    listed.add_options()("help,h", "print this and exit");
    po::options_description accepted;
    accepted.add(listed).add(line.positional_options);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments)
                      .options(accepted)
                      .positional(line.positions)
                      .run(),
                  values);
        if (values.contains("help")) {
            print_help(line, listed);
            return early_exit{exit_success};
        }
        po::notify(values);
    } catch (const po::error& error) {
        return early_exit{
            report_bad_input(command_name(line.usage), error.what())};
    }
    return values;
}

int report_bad_input(const std::string& command, const std::string& error)
{
    std::cerr << "oriolefall " << command << ": " << error
              << " (see oriolefall " << command << " --help)\n";
    return exit_bad_input;
}

} // namespace oriolefall::programs
