#include "programs/oriolefall/platform_access.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/endpoint_text.hpp"
#include "programs/oriolefall/command.hpp"
#include "programs/oriolefall/settings_file.hpp"

#include <cstdlib>
#include <iostream>
#include <random>
#include <unistd.h>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

constexpr const char* team_key_variable = "ORIOLEFALL_TEAM_KEY";

std::variant<platform_access, early_exit>
read_platform_access(const std::string& file, const std::string& command)
{
    const auto instance =
        load_settings(file, settings::parse_instance_settings);
    if (!instance)
        return early_exit{exit_bad_input};
    if (!instance->platform)
        return early_exit{
            report_bad_input(command, file + ": names no platform")};
    return platform_access{*instance->platform, instance->team_keys};
}

/// Makes a prefix for the write ids of this process. Process id and random
/// numbers keep it distinct from the prefixes of other processes.
std::string make_write_id_prefix()
{
    std::random_device random;
    return core::concat("operator-", ::getpid(), "-", random(), "-", random());
}

} // namespace

void add_platform_options(command_line& line)
{
    line.options.add_options()(
        "platform", po::value<std::string>(),
        "IP number and port of the platform's object API")(
        "instance", po::value<std::string>(),
        "settings file of an instance, which names the platform and the keys "
        "of the teams");
}

std::variant<platform_access, early_exit>
resolve_platform_access(const po::variables_map& values,
                        const std::string& command)
{
    if (values.contains("instance"))
        return read_platform_access(values["instance"].as<std::string>(),
                                    command);
    if (!values.contains("platform"))
        return early_exit{report_bad_input(
            command, "one of --platform and --instance is needed")};
    const auto& text = values["platform"].as<std::string>();
    const auto endpoint = settings::parse_endpoint(text);
    if (!endpoint)
        return early_exit{report_bad_input(
            command, "--platform \"" + text +
                         "\" is not an IP number and a port, as in "
                         "127.0.0.1:9000")};
    return platform_access{*endpoint, {}};
}

settings::team_key team_key_from_environment(const core::team_name& team)
{
    const char* key = std::getenv(team_key_variable);
    return {team, key == nullptr ? "" : key};
}

std::unique_ptr<objects::client> make_client(const platform_access& access)
{
    objects::client_settings settings;
    settings.endpoint = access.platform;
    settings.write_id_prefix = make_write_id_prefix();
    return std::make_unique<objects::client>(std::move(settings));
}

int report_failure(const std::string& command, const std::string& error)
{
    std::cerr << "oriolefall " << command << ": " << error << '\n';
    return exit_failure;
}

int report_unavailable(const std::string& command,
                       const objects::unavailable& result)
{
    return report_failure(command,
                          "the platform gave no result: " +
                              std::string(objects::to_string(result.cause)));
}

} // namespace oriolefall::programs
