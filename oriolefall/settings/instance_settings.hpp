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

/// Limits of the callers' HTTP at one instance.
struct front_limits
{
    /// Connections served at once; one thread each.
    std::size_t max_connections = 512;
    /// Bytes.
    std::size_t max_header_bytes = 16UL * 1024;
    /// Bytes.
    std::size_t max_body_bytes = 1024UL * 1024;
    /// Tokens of one answer that wait for a slow caller at most.
    std::size_t answer_ring_capacity = 256;
    /// How often a caller's connection is looked at while nothing flows.
    absl::Duration caller_check_interval = absl::Milliseconds(50);
    std::strong_ordering operator<=>(const front_limits&) const = default;
};

/// The least severe kind of log line that is written.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// Shows that a change to a team's subtree comes from that team.
struct team_key
{
    core::team_name team;
    std::string key;
    auto operator<=>(const team_key&) const = default;
};

/// What one entry instance is told when it starts. All else it learns from
/// the platform and its peers.
struct instance_settings
{
    core::instance_id instance;
    core::location location;
    /// Callers' and operators' HTTP; port 0 takes a free one.
    core::endpoint listen{"127.0.0.1", 8080};
    /// The inner protocol; port 0 takes a free one.
    core::endpoint peer_listen{"127.0.0.1", 8081};
    /// The object API; without it the deployment is read from a file.
    std::optional<core::endpoint> platform;
    /// Instances to talk to first.
    std::vector<core::endpoint> peers;
    front_limits front;
    /// Threads that call backend servers.
    std::size_t backend_lanes = 64;
    std::uint64_t decider_seed = 1;
    /// How long a caller may keep an address that it was given.
    absl::Duration address_lifetime = absl::Seconds(30);
    /// Longest graceful shutdown.
    absl::Duration shutdown_deadline = absl::Seconds(120);
    settings::log_level log_level = log_level::info;
    /// Shared by all instances: who has it may speak the inner protocol.
    std::string peer_key;
    std::vector<settings::team_key> team_keys;
    std::strong_ordering operator<=>(const instance_settings&) const = default;
};

/// Reads JSON with comments; all faults at once. Any thread.
[[nodiscard]] std::variant<instance_settings, std::vector<core::settings_error>>
parse_instance_settings(std::string_view text);

/// Each setting of an instance, in the order of the parser.
[[nodiscard]] std::vector<setting_description> describe_instance_settings();

} // namespace oriolefall::settings

#endif
