#include "programs/oriolefall/commands.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace oriolefall::programs;

constexpr int command_name_width = 12;

void print_help(std::ostream& out, const std::vector<command>& commands)
{
    out << "Usage: oriolefall COMMAND [ARGUMENT...]\n\n"
           "Routes language-model traffic with service levels and "
           "priorities.\n\nCommands:\n";
    std::ranges::for_each(commands, [&](const command& each) {
        out << "  " << std::left << std::setw(command_name_width) << each.name
            << each.summary << '\n';
    });
    out << "\noriolefall COMMAND --help tells more. oriolefall --version "
           "prints the version.\n";
}

int run_command(const std::vector<std::string>& arguments)
{
    const std::vector<command> commands = all_commands();
    if (arguments.empty()) {
        std::cerr << "oriolefall: a command is missing (see oriolefall "
                     "--help)\n";
        return exit_bad_input;
    }
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h") {
        print_help(std::cout, commands);
        return exit_success;
    }
    if (name == "--version") {
        std::cout << "oriolefall " << ORIOLEFALL_VERSION << '\n';
        return exit_success;
    }
    const auto found = std::ranges::find(commands, name, &command::name);
    if (found == commands.end()) {
        std::cerr << "oriolefall: there is no command \"" << name
                  << "\" (see oriolefall --help)\n";
        return exit_bad_input;
    }
    return found->run({arguments.begin() + 1, arguments.end()});
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run_command({argv + 1, argv + argc});
    } catch (const std::exception& error) {
        std::cerr << "oriolefall: " << error.what() << '\n';
        return exit_failure;
    }
}
