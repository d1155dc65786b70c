#include "platform/adapter.hpp"
#include "programs/oriolefall/command_line.hpp"
#include "programs/oriolefall/commands.hpp"

#include <variant>

namespace oriolefall::programs {

namespace {

int run_instance(const std::vector<std::string>& arguments)
{
    command_line line;
    line.usage = "instance";
    line.description =
        "Runs an instance on the users' platform, with the settings file that\n"
        "the environment names, until SIGTERM. Then it is no longer named to\n"
        "callers, answers what is open and ends.";
    const auto parsed = parse_command_line(line, arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    return platform::run_instance();
}

} // namespace

command instance_command()
{
    return {"instance", "run an instance on the users' platform", run_instance};
}

} // namespace oriolefall::programs
