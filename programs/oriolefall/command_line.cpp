#include "programs/oriolefall/command_line.hpp"

#include "programs/oriolefall/command.hpp"

#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

/// The first words of a usage, up to the first option or argument.
std::string name_of(const std::string& usage)
{
    const std::size_t end = usage.find_first_of("[-ABCDEFGHIJKLMNOPQRSTUVWXYZ");
    const std::string name = usage.substr(0, end);
    return name.substr(0, name.find_last_not_of(' ') + 1);
}

void print_help(const command_line& line, const po::options_description& shown)
{
    std::cout << "Usage: oriolefall " << line.usage << "\n\n"
              << line.description << "\n\n"
              << shown;
}

} // namespace

std::variant<po::variables_map, ended>
parse_command_line(const command_line& line,
                   const std::vector<std::string>& arguments)
{
    po::options_description shown(line.options);
    shown.add_options()("help,h", "print this and exit");
    po::options_description all;
    all.add(shown).add(line.positional_options);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(arguments)
                      .options(all)
                      .positional(line.positions)
                      .run(),
                  values);
        if (values.contains("help")) {
            print_help(line, shown);
            return ended{exit_done};
        }
        po::notify(values);
    } catch (const po::error& fault) {
        return ended{report_bad_input(name_of(line.usage), fault.what())};
    }
    return values;
}

int report_bad_input(const std::string& command, const std::string& fault)
{
    std::cerr << "oriolefall " << command << ": " << fault
              << " (see oriolefall " << command << " --help)\n";
    return exit_bad_input;
}

} // namespace oriolefall::programs
