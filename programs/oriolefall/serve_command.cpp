#include "oriolefall/daemon/serve.hpp"
#include "programs/oriolefall/command_line.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/settings_file.hpp"

#include <variant>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

command_line serve_command_line()
{
    command_line line;
    line.usage = "serve --instance FILE [--deployment FILE]";
    line.description =
        "Runs an entry instance until SIGTERM. Then it is announced as\n"
        "leaving, answers what is open and ends. A second signal ends it at\n"
        "once. The first line on standard output tells where it listens.";
    auto add_option = line.options.add_options();
    add_option("instance", po::value<std::string>()->required(),
               "settings of this instance");
    add_option("deployment", po::value<std::string>(),
               "deployment to start with, until the platform gives another");
    return line;
}

int run_serve(const std::vector<std::string>& arguments)
{
    const auto parsed = parse_command_line(serve_command_line(), arguments);
    if (const auto* early = std::get_if<early_exit>(&parsed))
        return early->exit_status;
    const auto& values = std::get<po::variables_map>(parsed);
    const auto instance = load_settings(values["instance"].as<std::string>(),
                                        settings::parse_instance_settings);
    if (!instance)
        return exit_bad_input;
    daemon::instance_options options{*instance, std::nullopt};
    if (values.count("deployment") > 0) {
        options.deployment = load_settings(
            values["deployment"].as<std::string>(), settings::parse_deployment);
        if (!options.deployment)
            return exit_bad_input;
    }
    return daemon::serve(options);
}

} // namespace

command serve_command()
{
    return {"serve", "run an entry instance", run_serve};
}

} // namespace oriolefall::programs
