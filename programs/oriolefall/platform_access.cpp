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

constexpr const char* key_variable = "ORIOLEFALL_TEAM_KEY";

std::variant<platform_access, ended>
read_instance_file(const std::string& file, const std::string& command)
{
    const auto instance =
        load_settings(file, settings::parse_instance_settings);
    if (!instance)
        return ended{exit_bad_input};
    if (!instance->platform)
        return ended{report_bad_input(command, file + ": names no platform")};
    return platform_access{*instance->platform, instance->team_keys};
}

/// Starts the write ids of this run; no other run has the same.
std::string writer_name()
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

std::variant<platform_access, ended>
platform_access_of(const po::variables_map& values, const std::string& command)
{
    if (values.contains("instance"))
        return read_instance_file(values["instance"].as<std::string>(),
                                  command);
    if (!values.contains("platform"))
        return ended{report_bad_input(
            command, "one of --platform and --instance is needed")};
    const auto& text = values["platform"].as<std::string>();
    const auto endpoint = settings::parse_endpoint(text);
    if (!endpoint)
        return ended{report_bad_input(
            command, "--platform \"" + text +
                         "\" is not an IP number and a port, as in "
                         "127.0.0.1:9000")};
    return platform_access{*endpoint, {}};
}

settings::team_key acting_as(const core::team_name& team)
{
    const char* key = std::getenv(key_variable);
    return {team, key == nullptr ? "" : key};
}

std::unique_ptr<objects::client> make_client(const platform_access& access)
{
    objects::client_settings settings;
    settings.endpoint = access.platform;
    settings.write_id_prefix = writer_name();
    return std::make_unique<objects::client>(std::move(settings));
}

int report_failure(const std::string& command, const std::string& fault)
{
    std::cerr << "oriolefall " << command << ": " << fault << '\n';
    return exit_failed;
}

int report_unavailable(const std::string& command,
                       const objects::unavailable& result)
{
    return report_failure(command,
                          "the platform gave no result: " +
                              std::string(objects::to_string(result.cause)));
}

} // namespace oriolefall::programs
