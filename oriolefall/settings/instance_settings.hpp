#ifndef ORIOLEFALL_SETTINGS_INSTANCE_SETTINGS_HPP
#define ORIOLEFALL_SETTINGS_INSTANCE_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/settings_error.hpp"
#include "oriolefall/settings/setting.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::settings {

/// Limits of an instance's HTTP front end for callers.
struct front_limits
{
    /// Concurrent connections; one thread each.
    std::size_t max_connections = 512;
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 1024UL * 1024;
    /// Maximum number of tokens of one answer buffered for a slow caller.
    std::size_t answer_ring_capacity = 256;
    /// Interval at which an idle caller's connection is checked.
    absl::Duration caller_check_interval = absl::Milliseconds(50);
    std::strong_ordering operator<=>(const front_limits&) const = default;
};

/// The lowest severity of log entries that are written.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// The secret that authenticates a team's changes to its subtree.
struct team_key
{
    core::team_name team;
    std::string key;
    auto operator<=>(const team_key&) const = default;
};

/// The settings that an entry instance reads at its start. Everything else
/// comes from the platform and the peers.
struct instance_settings
{
    core::instance_id instance;
    core::location location;
    /// Endpoint for callers' and operators' HTTP; port 0 selects a free port.
    core::endpoint listen{"127.0.0.1", 8080};
    /// Endpoint for the inner protocol; port 0 selects a free port.
    core::endpoint peer_listen{"127.0.0.1", 8081};
    /// Object API of the platform; without it the deployment is read from a
    /// file.
    std::optional<core::endpoint> platform;
    /// Instances to contact at startup.
    std::vector<core::endpoint> peers;
    front_limits front;
    /// Number of worker threads that call backend servers.
    std::size_t backend_lanes = 64;
    std::uint64_t decider_seed = 1;
    /// How long a caller may use an instance address that it received.
    absl::Duration address_lifetime = absl::Seconds(30);
    /// Maximum duration of a graceful shutdown.
    absl::Duration shutdown_deadline = absl::Seconds(120);
    settings::log_level log_level = log_level::info;
    /// Secret shared by all instances; required for the inner protocol.
    std::string peer_key;
    std::vector<settings::team_key> team_keys;
    std::strong_ordering operator<=>(const instance_settings&) const = default;
};

/// Parses JSON with comments; returns all faults at once. Thread-safe.
[[nodiscard]] std::variant<instance_settings, std::vector<core::settings_error>>
parse_instance_settings(std::string_view text);

/// Descriptions of all settings of an instance, in the order of the parser.
[[nodiscard]] std::vector<setting_description> describe_instance_settings();

} // namespace oriolefall::settings

#endif
