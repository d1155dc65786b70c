#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/instance_query.hpp"

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

command_line entry_command_line()
{
    command_line line;
    line.usage = "entry --workspace NAME [--address ADDRESS:PORT]";
    line.description =
        "Asks an instance which addresses a workspace should use and for how\n"
        "long. Prints its answer as JSON.";
    add_address_option(line);
    line.options.add_options()(
        "workspace", po::value<std::string>()->required(), "who will ask");
    return line;
}

int run_entry(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(entry_command_line(), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    const auto address = parse_address(values, "entry");
    if (const auto* early = std::get_if<early_exit>(&address))
        return early->exit_status;
    const auto& workspace = values["workspace"].as<std::string>();
    return query_and_print(std::get<core::endpoint>(address),
                           "/v1/entry?workspace=" + percent_encode(workspace),
                           "entry");
}

} // namespace

command entry_command()
{
    return {"entry", "ask which addresses a workspace should use", run_entry};
}

} // namespace oriolefall::programs
