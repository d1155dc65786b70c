#ifndef ORIOLEFALL_PROGRAMS_PLATFORM_ACCESS_HPP
#define ORIOLEFALL_PROGRAMS_PLATFORM_ACCESS_HPP

#include "oriolefall/objects/client.hpp"
#include "oriolefall/settings/instance_settings.hpp"
#include "programs/oriolefall/command_line.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::programs {

/// Endpoint and keys with which an operator's command accesses the platform.
struct platform_access
{
    core::endpoint platform;
    /// Keys of the teams; empty when only `--platform` was given.
    std::vector<settings::team_key> team_keys;
    auto operator<=>(const platform_access&) const = default;
};

/// Adds the options `--instance` and `--platform`.
void add_platform_options(command_line& line);

/// The access that the two options give. Invalid options are reported on
/// standard error under the name `command`, as are faults of the settings file
/// under the name of the file.
[[nodiscard]] std::variant<platform_access, early_exit>
resolve_platform_access(const boost::program_options::variables_map& values,
                        const std::string& command);

/// The team with the key from the environment variable ORIOLEFALL_TEAM_KEY;
/// the key is empty when the variable is not set.
[[nodiscard]] settings::team_key
team_key_from_environment(const core::team_name& team);

/// Creates an object store client with a write id prefix of its own.
[[nodiscard]] std::unique_ptr<objects::client>
make_client(const platform_access& access);

/// Each prints a failed call of `command` in one line on standard error and
/// returns `exit_failure`.
int report_failure(const std::string& command, const std::string& error);
int report_unavailable(const std::string& command,
                       const objects::unavailable& result);

} // namespace oriolefall::programs

#endif
