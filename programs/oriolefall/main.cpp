#include "programs/oriolefall/commands.hpp"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace {

using namespace oriolefall::programs;

constexpr int name_width = 12;

void print_help(std::ostream& out, const std::vector<command>& commands)
{
    out << "Usage: oriolefall COMMAND [ARGUMENT...]\n\n"
           "Routes language-model traffic with service levels and "
           "priorities.\n\nCommands:\n";
    std::ranges::for_each(commands, [&](const command& each) {
        out << "  " << std::left << std::setw(name_width) << each.name
            << each.summary << '\n';
    });
    out << "\noriolefall COMMAND --help tells more. oriolefall --version "
           "prints the version.\n";
}

int dispatch(const std::vector<std::string>& words)
{
    const std::vector<command> commands = all_commands();
    if (words.empty()) {
        std::cerr << "oriolefall: a command is missing (see oriolefall "
                     "--help)\n";
        return exit_bad_input;
    }
    const std::string& name = words.front();
    if (name == "--help" || name == "-h") {
        print_help(std::cout, commands);
        return exit_done;
    }
    if (name == "--version") {
        std::cout << "oriolefall " << ORIOLEFALL_VERSION << '\n';
        return exit_done;
    }
    const auto found = std::ranges::find(commands, name, &command::name);
    if (found == commands.end()) {
        std::cerr << "oriolefall: there is no command \"" << name
                  << "\" (see oriolefall --help)\n";
        return exit_bad_input;
    }
    return found->run({words.begin() + 1, words.end()});
}

} // namespace

int main(int argument_count, char** arguments)
{
    try {
        return dispatch({arguments + 1, arguments + argument_count});
    } catch (const std::exception& fault) {
        std::cerr << "oriolefall: " << fault.what() << '\n';
        return exit_failed;
    }
}
