#include "oriolefall/settings/instance_settings.hpp"

#include "oriolefall/settings/duplicates.hpp"
#include "oriolefall/settings/object_reader.hpp"

#include <array>

namespace oriolefall::settings {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t min_key_length = 16;
constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};
constexpr std::array<log_level, 4> levels{log_level::debug, log_level::info,
                                          log_level::warning, log_level::error};

void read_location(object_reader& reader, core::location& result)
{
    reader.read({"region", "Region that the instance stands in.", true},
                result.region);
    reader.read({"failure_domain",
                 "Failure domain of the region that it stands in.", true},
                result.failure_domain);
}

void read_front(object_reader& reader, front_limits& result)
{
    reader.read({"max_connections",
                 "Callers' connections served at once, one thread each."},
                result.max_connections, {1, 16384});
    reader.read_bytes({"max_header", "Largest header of a request."},
                      result.max_header_bytes, {kibibyte, mebibyte});
    reader.read_bytes({"max_body", "Largest body of a request."},
                      result.max_body_bytes, {kibibyte, 64 * mebibyte});
    reader.read({"answer_ring_capacity",
                 "Tokens of one answer that wait for a slow caller."},
                result.answer_ring_capacity, {1, 65536});
    reader.read({"caller_check_interval",
                 "How often a caller's connection is looked at while nothing "
                 "flows."},
                result.caller_check_interval,
                {absl::Milliseconds(1), absl::Seconds(10)});
}

void read_team_key(object_reader& reader, team_key& result)
{
    reader.read({"team", "Team whose subtree the key opens.", true},
                result.team);
    reader.read_secret({"key", "Secret of the team.", true}, result.key,
                       min_key_length);
}

void read_addresses(object_reader& reader, instance_settings& result)
{
    reader.read({"listen", "Callers' and operators' HTTP; port 0 takes a "
                           "free one."},
                result.listen);
    reader.read({"peer_listen", "Inner protocol; port 0 takes a free one."},
                result.peer_listen);
    reader.read({"platform", "Object API of the platform. Without it the "
                             "deployment is read from a file."},
                result.platform);
    reader.read({"peers", "Instances to talk to first."}, result.peers);
}

void read_durations(object_reader& reader, instance_settings& result)
{
    reader.read({"address_lifetime",
                 "How long a caller may keep an address that it was given."},
                result.address_lifetime, {absl::Seconds(1), absl::Hours(1)});
    reader.read({"shutdown_deadline", "Longest graceful shutdown."},
                result.shutdown_deadline, {absl::Seconds(1), absl::Hours(2)});
}

void read_instance(object_reader& reader, instance_settings& result)
{
    reader.read(
        {"instance", "Name of the instance; unique in the fleet.", true},
        result.instance);
    reader.read_object(
        {"location", "Where the instance stands.", true},
        [&](object_reader& inner) { read_location(inner, result.location); });
    read_addresses(reader, result);
    reader.read_object(
        {"front", "Limits of the callers' HTTP."},
        [&](object_reader& inner) { read_front(inner, result.front); });
    reader.read({"backend_lanes", "Threads that call backend servers."},
                result.backend_lanes, {1, 16384});
    reader.read({"decider_seed", "Seed of the random choices of placement."},
                result.decider_seed, {0, 1ULL << 53U});
    read_durations(reader, result);
    reader.read<log_level>({"log_level", "Least severe log line written."},
                           result.log_level, level_names, levels);
    reader.read_secret({"peer_key", "Secret that all instances share.", true},
                       result.peer_key, min_key_length);
    reader.read_list({"team_keys", "Secrets of the teams."}, result.team_keys,
                     read_team_key);
}

} // namespace

std::variant<instance_settings, std::vector<core::settings_error>>
parse_instance_settings(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (const auto* faults = std::get_if<errors>(&parsed))
        return *faults;
    reader_context context;
    instance_settings value;
    object_reader reader(std::get<nlohmann::json>(parsed), "", context);
    read_instance(reader, value);
    reader.report_unknown_keys();
    report_duplicates(value.team_keys, &team_key::team, "/team_keys", "team",
                      context.faults);
    if (!context.faults.empty())
        return context.faults;
    return value;
}

std::vector<setting_description> describe_instance_settings()
{
    std::vector<setting_description> descriptions;
    reader_context context{.faults = {}, .descriptions = &descriptions};
    const nlohmann::json empty_object = nlohmann::json::object();
    object_reader reader(empty_object, "", context);
    instance_settings value;
    read_instance(reader, value);
    return descriptions;
}

} // namespace oriolefall::settings
