#include "bench/commands.hpp"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr int exit_usage_error = 2;

struct command
{
    std::string_view name;
    std::string_view summary;
    oriolefall::bench::command_hook run;
};

std::vector<command> all_commands()
{
    namespace bench = oriolefall::bench;
    return {
        {"check-trace", "FILE: reads a trace and says what it holds",
         bench::check_trace_command},
        {"load", "--entry HOST:PORT --trace FILE: replays a trace live",
         bench::load_command},
        {"replay",
         "FILE [--policy NAME]... [--seeds N]: replays a trace through the "
         "decisions",
         bench::replay_command},
        {"decider", "measures the cost of decisions", bench::decider_command},
        {"overhead", "measures the time that an instance adds to a request",
         bench::overhead_command},
        {"make-traces", "DIR: writes the generated traces into DIR",
         bench::make_traces_command},
        {"fleet", "measures what control costs each instance of a fleet",
         bench::fleet_command},
        {"demo", "TRACE: starts a fleet on loopback and replays a trace",
         bench::demo_command},
    };
}

int print_usage(const std::vector<command>& commands)
{
    std::cerr << "usage: oriolefall-bench COMMAND ...\n";
    for (const command& each : commands)
        std::cerr << "  " << each.name << "  " << each.summary << '\n';
    return exit_usage_error;
}

int run(std::span<const std::string> arguments)
{
    const std::vector<command> commands = all_commands();
    if (arguments.empty())
        return print_usage(commands);
    const auto found =
        std::ranges::find(commands, arguments[0], &command::name);
    if (found == commands.end())
        return print_usage(commands);
    return found->run(arguments.subspan(1));
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        return run(arguments);
    } catch (const std::exception& error) {
        std::cerr << "oriolefall-bench: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
