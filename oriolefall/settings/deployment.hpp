#ifndef ORIOLEFALL_SETTINGS_DEPLOYMENT_HPP
#define ORIOLEFALL_SETTINGS_DEPLOYMENT_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/service_class.hpp"
#include "oriolefall/core/settings_error.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/settings/setting.hpp"

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::settings {

/// A region and its failure domains, which fail independently.
struct region
{
    core::region_name name;
    std::vector<core::failure_domain_name> failure_domains;
    auto operator<=>(const region&) const = default;
};

/// A team of operators. It may change its own subtree of the settings and read
/// all others.
struct team
{
    core::team_name name;
    auto operator<=>(const team&) const = default;
};

/// A model that engines may load.
struct model
{
    core::model_name name;
    auto operator<=>(const model&) const = default;
};

/// A group of callers with a fair share of its own.
struct workspace
{
    core::workspace_id name;
    core::team_name team;
    /// Share relative to the other workspaces.
    double weight = 1.0;
    std::partial_ordering operator<=>(const workspace&) const = default;
};

/// The settings shared by the whole fleet: the callers, their classes of
/// requests and the backend servers that answer them.
struct deployment
{
    std::vector<settings::region> regions;
    std::vector<settings::team> teams;
    std::vector<settings::model> models;
    std::vector<core::service_class> classes;
    std::vector<settings::workspace> workspaces;
    std::vector<core::backend_server> backend_servers;
    std::partial_ordering operator<=>(const deployment&) const = default;
};

/// Parses JSON with comments; returns all faults at once. Thread-safe.
[[nodiscard]] std::variant<deployment, std::vector<core::settings_error>>
parse_deployment(std::string_view text);

/// Descriptions of all settings of a deployment, in the order of the parser.
[[nodiscard]] std::vector<setting_description> describe_deployment();

/// The part of a deployment that routing decisions use. Thread-safe.
[[nodiscard]] decision::routing_table
make_routing_table(const deployment& source, std::uint64_t version);

} // namespace oriolefall::settings

#endif
