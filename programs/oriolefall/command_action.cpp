#include "programs/oriolefall/command_action.hpp"

#include "programs/oriolefall/command.hpp"

#include <algorithm>
#include <cctype>
#include <iostream>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

std::string usage_of(const std::string& command, const command_action& action)
{
    return command + " " + action.name +
           (action.usage.empty() ? "" : " " + action.usage) +
           " (--platform ADDRESS:PORT | --instance FILE)";
}

void print_help(const std::string& command,
                const std::vector<command_action>& actions)
{
    std::cout << "Usage: oriolefall " << command << " ACTION ...\n\nActions:\n";
    std::ranges::for_each(actions, [&](const command_action& each) {
        std::cout << "  oriolefall " << usage_of(command, each) << '\n';
    });
    std::cout << "\noriolefall " << command << " ACTION --help tells more.\n";
}

command_line command_line_of(const std::string& command,
                             const command_action& action)
{
    command_line line;
    line.usage = usage_of(command, action);
    line.description = action.description;
    add_platform_options(line);
    line.options.add(action.options);
    std::ranges::for_each(action.arguments, [&](const std::string& name) {
        line.positional_options.add_options()(name.c_str(),
                                              po::value<std::string>());
        line.positions.add(name.c_str(), 1);
    });
    return line;
}

std::string upper_case(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::toupper(letter));
    });
    return text;
}

int run_action(const std::string& command, const command_action& action,
               const std::vector<std::string>& arguments)
{
    const std::string name = command + " " + action.name;
    const auto parsed =
        parse_command_line(command_line_of(command, action), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    const auto missing =
        std::ranges::find_if(action.arguments, [&](const std::string& each) {
            return !values.contains(each);
        });
    if (missing != action.arguments.end())
        return report_bad_input(name, upper_case(*missing) + " is missing");
    const auto access = resolve_platform_access(values, name);
    if (const auto* early = std::get_if<early_exit>(&access))
        return early->exit_status;
    return action.run(values, std::get<platform_access>(access));
}

} // namespace

int run_command_action(const std::string& command,
                       const std::vector<command_action>& actions,
                       const std::vector<std::string>& arguments)
{
    if (arguments.empty())
        return report_bad_input(command, "an action is missing");
    const std::string& name = arguments.front();
    if (name == "--help" || name == "-h") {
        print_help(command, actions);
        return exit_success;
    }
    const auto found = std::ranges::find(actions, name, &command_action::name);
    if (found == actions.end())
        return report_bad_input(command, "there is no action \"" + name + "\"");
    return run_action(command, *found,
                      {arguments.begin() + 1, arguments.end()});
}

} // namespace oriolefall::programs
