#include "dispatch_world.hpp"

#include <utility>

namespace oriolefall::tests {

namespace {

routing::route some_route(const std::string& name, const std::string& service,
                          std::uint32_t max_servers)
{
    routing::route made;
    made.name = routing::route_name(name);
    made.host = "host";
    made.path_prefix = "/" + name + "/";
    made.targets = {{routing::service_name(service), 1}};
    made.time_limit = absl::Seconds(10);
    made.goal = absl::Seconds(1);
    made.gap_goal = absl::Milliseconds(300);
    made.max_servers = max_servers;
    return made;
}

dispatch::dispatch_hooks some_hooks(const dispatch::dispatch_settings& settings)
{
    auto next = std::make_shared<std::uint64_t>(0);
    return {dispatch::expected_time(settings.placement),
            [next] { return (*next)++; }};
}

} // namespace

routing::route_settings some_routes(std::uint64_t version,
                                    std::uint32_t max_servers)
{
    routing::route_settings settings;
    settings.version = version;
    auto safe = some_route("safe", "desk", max_servers);
    safe.is_idempotent = true;
    auto stream = some_route("stream", "engine", max_servers);
    stream.is_stream = true;
    stream.priority = 1;
    auto resumable = some_route("resumable", "engine", max_servers);
    resumable.is_stream = true;
    resumable.resumable = true;
    resumable.priority = 2;
    settings.routes = {safe, some_route("unsafe", "desk", max_servers), stream,
                       resumable};
    routing::service engine{routing::service_name("engine"), "/health", 100,
                            routing::engine_shape{8, 100000, 3}};
    settings.services = {
        engine, {routing::service_name("desk"), "/health", 10, std::nullopt}};
    return settings;
}

dispatch::server_entry some_server(const std::string& id,
                                   const std::string& service,
                                   const std::string& region)
{
    dispatch::server_entry made;
    made.id = core::backend_server_id(id);
    made.service = routing::service_name(service);
    made.endpoint = {"127.0.0.1", 1};
    made.location.region = core::region_name(region);
    made.slots = 8;
    return made;
}

dispatch_world::dispatch_world(const dispatch::dispatch_settings& settings)
    : subject(settings, some_hooks(settings))
{
}

void dispatch_world::give(const dispatch::event& event)
{
    subject.step(now, event, actions);
}

void dispatch_world::pass(absl::Duration time)
{
    const absl::Time end = now + time;
    while (subject.next_tick() <= end) {
        now = std::max(now, subject.next_tick());
        give(dispatch::tick{});
    }
    now = end;
}

void dispatch_world::set_routes(const routing::route_settings& settings)
{
    give(dispatch::routes_changed{
        std::make_shared<const routing::route_table>(settings)});
}

void dispatch_world::set_servers(
    const std::vector<dispatch::server_entry>& servers,
    std::vector<core::backend_server_id> doubtful)
{
    give(dispatch::servers_changed{
        std::make_shared<const std::vector<dispatch::server_entry>>(servers),
        std::move(doubtful)});
}

core::request_id
dispatch_world::arrive(const std::string& route,
                       std::vector<dispatch::prompt_part> prompt)
{
    dispatch::arrival arrival;
    arrival.id = core::request_id(next_request_++);
    arrival.host = "host";
    arrival.path = "/" + route + "/1";
    arrival.received = now;
    arrival.patience = absl::Seconds(20);
    arrival.prompt = std::move(prompt);
    give(arrival);
    return arrival.id;
}

} // namespace oriolefall::tests
