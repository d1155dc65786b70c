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

/// How an operator's command reaches the platform.
struct platform_access
{
    core::endpoint platform;
    /// Keys of the teams; empty when only the address was given.
    std::vector<settings::team_key> team_keys;
    auto operator<=>(const platform_access&) const = default;
};

/// Adds the options `--instance` and `--platform`.
void add_platform_options(command_line& line);

/// What the two options say; `command` is named in a fault.
[[nodiscard]] std::variant<platform_access, ended>
platform_access_of(const boost::program_options::variables_map& values,
                   const std::string& command);

/// The team and what the variable ORIOLEFALL_TEAM_KEY gives as its key.
[[nodiscard]] settings::team_key acting_as(const core::team_name& team);

/// A client for one command.
[[nodiscard]] std::unique_ptr<objects::client>
make_client(const platform_access& access);

/// Prints one line about a call that did not work; the exit status.
int report_failure(const std::string& command, const std::string& fault);
int report_unavailable(const std::string& command,
                       const objects::unavailable& result);

} // namespace oriolefall::programs

#endif
