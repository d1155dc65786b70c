#include "oriolefall/decision/server_table.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace oriolefall::decision {

namespace {

/// A hash that is equal in every process, unlike absl::Hash.
std::uint64_t stable_hash(const std::string& text)
{
    return std::accumulate(text.begin(), text.end(), std::uint64_t{0},
                           [](std::uint64_t hash, char letter) {
                               return mix_hash(
                                   hash, static_cast<unsigned char>(letter));
                           });
}

} // namespace

void server_pool::insert(server_index server)
{
    const auto position = static_cast<std::uint32_t>(servers_.size());
    if (positions_.emplace(server, position).second)
        servers_.push_back(server);
}

void server_pool::erase(server_index server)
{
    const auto found = positions_.find(server);
    if (found == positions_.end())
        return;
    const std::uint32_t position = found->second;
    positions_.erase(found);
    const server_index last = servers_.back();
    servers_.pop_back();
    if (last == server)
        return;
    servers_[position] = last;
    positions_[last] = position;
}

void server_pool::clear()
{
    servers_.clear();
    positions_.clear();
}

server_table::server_table(const decider_settings& settings)
    : settings_(settings)
{
}

void server_table::apply(const std::vector<core::backend_server>& servers,
                         absl::Time now)
{
    for (server_state& state : servers_)
        state.is_configured = false;
    std::ranges::for_each(servers,
                          [this](const auto& each) { update_server(each); });
    rebuild_routes(now);
}

void server_table::update_server(const core::backend_server& server)
{
    const auto next = static_cast<server_index>(servers_.size());
    const auto [found, added] = indices_.try_emplace(server.id, next);
    if (added)
        servers_.push_back(
            server_state{.server = {},
                         .limit = scheduling::concurrency_limit(settings_.limit,
                                                                server.slots),
                         .health = server_health(settings_.ejection)});
    server_state& state = servers_[found->second];
    state.server = server;
    state.hash = stable_hash(server.id.value());
    state.is_configured = true;
    state.is_local = server.location.region == settings_.location.region;
    state.limit.set_slots(server.slots);
}

void server_table::rebuild_routes(absl::Time now)
{
    route empty_route;
    empty_route.is_all_remote = true;
    std::ranges::fill(routes_, empty_route);
    for (server_index i = 0; i < servers_.size(); ++i)
        add_to_routes(i);
    for (server_index i = 0; i < servers_.size(); ++i) {
        const server_state& state = servers_[i];
        for (const route_index index : state.routes) {
            route& entry = routes_[index];
            capacity_for(entry, state).in_flight += state.in_flight;
            if (counts_as_local(entry, state) && state.is_configured &&
                !state.server.leaving)
                entry.affinity_servers.add(i, state.hash);
        }
        refresh(i, now);
    }
    build_groups();
}

void server_table::add_to_routes(server_index server)
{
    server_state& state = servers_[server];
    state.routes.clear();
    state.counted_slots = 0;
    state.counted_free = 0;
    for (const std::string& name : state.server.serves) {
        const auto next = static_cast<route_index>(routes_.size());
        const auto [found, added] = route_indices_.try_emplace(name, next);
        if (added) {
            routes_.emplace_back();
            routes_.back().is_all_remote = true;
        }
        const route_index index = found->second;
        if (std::ranges::find(state.routes, index) != state.routes.end())
            continue;
        state.routes.push_back(index);
        if (!state.is_configured || state.server.leaving)
            continue;
        route& entry = routes_[index];
        ++entry.servers;
        entry.ejected += state.health.state() == health_state::ejected ? 1 : 0;
        entry.resuming_servers += state.server.resumes_streams ? 1 : 0;
        entry.is_all_remote = entry.is_all_remote && !state.is_local;
    }
}

void server_table::build_groups()
{
    std::vector<route_index> parent(routes_.size());
    std::iota(parent.begin(), parent.end(), 0U);
    const auto root = [&parent](route_index index) {
        while (parent[index] != index)
            index = parent[index] = parent[parent[index]];
        return index;
    };
    for (const server_state& state : servers_)
        for (const route_index index : state.routes)
            parent[root(index)] = root(state.routes.front());
    groups_.assign(routes_.size(), {});
    for (route_index i = 0; i < routes_.size(); ++i) {
        routes_[i].group = root(i);
        groups_[root(i)].push_back(i);
    }
}

std::optional<server_index>
server_table::find(const core::backend_server_id& id) const
{
    const auto found = indices_.find(id);
    if (found == indices_.end())
        return std::nullopt;
    return found->second;
}

std::optional<route_index>
server_table::find_route(const core::request& request) const
{
    const std::string& route_name = request.model.value().empty()
                                        ? request.service_class.value()
                                        : request.model.value();
    const auto found = route_indices_.find(route_name);
    if (found == route_indices_.end())
        return std::nullopt;
    return found->second;
}

void server_table::call_started(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    ++state.in_flight;
    for (const route_index index : state.routes)
        ++capacity_for(routes_[index], state).in_flight;
    refresh(server, now);
}

void server_table::call_ended(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    assert(state.in_flight > 0);
    --state.in_flight;
    for (const route_index index : state.routes)
        --capacity_for(routes_[index], state).in_flight;
    refresh(server, now);
}

bool server_table::is_usable(const server_state& state, absl::Time now) const
{
    return state.is_configured && !state.server.leaving &&
           state.health.state() != health_state::ejected &&
           now >= state.refused_until;
}

std::uint32_t server_table::call_limit_of(const server_state& state) const
{
    return state.health.state() == health_state::probing ? 1
                                                         : state.limit.value();
}

void server_table::refresh(server_index server, absl::Time now)
{
    const server_state& state = servers_[server];
    update_counts(server, is_usable(state, now) ? call_limit_of(state) : 0);
}

void server_table::update_counts(server_index server, std::uint32_t slots)
{
    server_state& state = servers_[server];
    const std::uint32_t free_now =
        slots > state.in_flight ? slots - state.in_flight : 0;
    const bool availability_changed =
        (free_now > 0) != (state.counted_free > 0);
    for (const route_index index : state.routes) {
        route& entry = routes_[index];
        capacity& total = capacity_for(entry, state);
        total.slots = total.slots + slots - state.counted_slots;
        total.free_slots = total.free_slots + free_now - state.counted_free;
        if (availability_changed)
            update_pools(entry, server, free_now > 0);
    }
    state.counted_slots = slots;
    state.counted_free = free_now;
}

void server_table::update_pools(route& entry, server_index server, bool is_free)
{
    const server_state& state = servers_[server];
    const bool is_local = counts_as_local(entry, state);
    const auto change = [&](server_pool& pool) {
        if (is_free)
            pool.insert(server);
        else
            pool.erase(server);
    };
    change(is_local ? entry.local_free : entry.remote_free);
    if (state.server.resumes_streams)
        change(is_local ? entry.local_resuming : entry.remote_resuming);
}

bool server_table::try_eject(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    const bool is_below_cap =
        std::ranges::all_of(state.routes, [&](route_index index) {
            const route& entry = routes_[index];
            const auto max_ejected = static_cast<std::uint32_t>(
                settings_.ejection.max_ejected_share * entry.servers);
            return entry.ejected <
                   std::max(max_ejected, entry.servers > 1 ? 1U : 0U);
        });
    const bool is_active = state.is_configured && !state.server.leaving;
    if (!state.health.is_outlier() || !is_below_cap || !is_active)
        return false;
    state.health.eject(now);
    for (const route_index index : state.routes)
        ++routes_[index].ejected;
    refresh(server, now);
    return true;
}

bool server_table::try_start_probe(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    if (state.health.state() != health_state::ejected ||
        now < state.health.ejected_until())
        return false;
    state.health.start_probe();
    if (state.is_configured && !state.server.leaving)
        for (const route_index index : state.routes)
            --routes_[index].ejected;
    refresh(server, now);
    return true;
}

} // namespace oriolefall::decision
