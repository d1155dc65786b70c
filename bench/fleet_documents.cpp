#include "bench/fleet_documents.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/core/tier.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace oriolefall::bench {

namespace {

using nlohmann::json;

constexpr const char* only_team = "operators";

std::string print_milliseconds(absl::Duration time)
{
    return core::concat(absl::ToInt64Milliseconds(time), "ms");
}

std::string print_endpoint(const core::endpoint& endpoint)
{
    return core::concat(endpoint.address, ":", endpoint.port);
}

json to_json(const core::location& location)
{
    return {{"region", location.region.value()},
            {"failure_domain", location.failure_domain.value()}};
}

const char* name_of(core::call_kind kind)
{
    return kind == core::call_kind::generate ? "generate" : "service";
}

json to_json(const core::latency_target& target)
{
    json printed = json::object();
    const auto add = [&](const char* name, absl::Duration limit) {
        if (limit != absl::InfiniteDuration())
            printed[name] = print_milliseconds(limit);
    };
    add("first_token", target.first_token);
    add("between_tokens", target.between_tokens);
    add("whole_answer", target.whole_answer);
    return printed;
}

json to_json(const core::service_class& value)
{
    return {{"name", value.name.value()},
            {"tier", core::to_string(value.tier)},
            {"kind", name_of(value.kind)},
            {"idempotent", value.idempotent},
            {"target", to_json(value.target)},
            {"deadline", print_milliseconds(value.deadline)},
            {"minimum_share", value.minimum_share},
            {"max_attempts", value.max_attempts}};
}

json to_json(const core::backend_server& server)
{
    return {{"id", server.id.value()},
            {"endpoint", print_endpoint(server.endpoint)},
            {"location", to_json(server.location)},
            {"kind", name_of(server.kind)},
            {"serves", server.serves},
            {"slots", server.slots},
            {"checks_fencing", server.checks_fencing},
            {"resumes_streams", server.resumes_streams}};
}

/// The regions in which something of the trace stands.
json regions_of(const trace_header& header)
{
    std::map<std::string, std::set<std::string>> domains;
    const auto add = [&](const core::location& at) {
        domains[at.region.value()].insert(at.failure_domain.value());
    };
    add(header.location);
    for (const trace_server& server : header.servers)
        add(server.server.location);
    json regions = json::array();
    for (const auto& [region, names] : domains)
        regions.push_back({{"name", region}, {"failure_domains", names}});
    return regions;
}

json models_of(const trace_header& header)
{
    std::set<std::string> names;
    for (const trace_server& each : header.servers) {
        if (each.server.kind == core::call_kind::generate)
            names.insert(each.server.serves.begin(), each.server.serves.end());
    }
    json models = json::array();
    for (const std::string& name : names)
        models.push_back({{"name", name}});
    return models;
}

json workspaces_of(const trace_header& header)
{
    json workspaces = json::array();
    for (const core::workspace_id& workspace : header.workspaces)
        workspaces.push_back(
            {{"name", workspace.value()}, {"team", only_team}});
    return workspaces;
}

} // namespace

std::string print_deployment(const trace_header& header)
{
    json classes = json::array();
    std::ranges::transform(
        header.classes, std::back_inserter(classes),
        [](const core::service_class& value) { return to_json(value); });
    json servers = json::array();
    std::ranges::transform(
        header.servers, std::back_inserter(servers),
        [](const trace_server& each) { return to_json(each.server); });
    const json deployment{{"regions", regions_of(header)},
                          {"teams", {{{"name", only_team}}}},
                          {"models", models_of(header)},
                          {"classes", classes},
                          {"workspaces", workspaces_of(header)},
                          {"backend_servers", servers}};
    return deployment.dump(2);
}

std::string print_instance(const local_instance& instance)
{
    json settings{
        {"instance", instance.id},
        {"location", to_json(instance.location)},
        {"listen", "127.0.0.1:0"},
        {"peer_listen", print_endpoint(instance.peer_listen)},
        {"front", {{"max_connections", instance.max_connections}}},
        {"backend_lanes", instance.backend_lanes},
        {"address_lifetime", print_milliseconds(instance.address_lifetime)},
        {"peer_key", "local-fleet-peer-key"}};
    if (instance.platform)
        settings["platform"] = print_endpoint(*instance.platform);
    json peers = json::array();
    std::ranges::transform(instance.peers, std::back_inserter(peers),
                           print_endpoint);
    settings["peers"] = peers;
    return settings.dump(2);
}

} // namespace oriolefall::bench
