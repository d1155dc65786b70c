#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/instance_query.hpp"

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

command_line status_command_line()
{
    command_line line;
    line.usage = "status [--address ADDRESS:PORT]";
    line.description = "Prints the state of an instance as JSON.";
    add_address_option(line);
    return line;
}

int run_status(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(status_command_line(), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto address =
        parse_address(std::get<po::variables_map>(parsed), "status");
    if (const auto* early = std::get_if<early_exit>(&address))
        return early->exit_status;
    return query_and_print(std::get<core::endpoint>(address), "/v1/status",
                           "status");
}

} // namespace

command status_command()
{
    return {"status", "print the state of an instance", run_status};
}

} // namespace oriolefall::programs
