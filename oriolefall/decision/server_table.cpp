#include "oriolefall/decision/server_table.hpp"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace oriolefall::decision {

namespace {

/// A hash that is the same in every process, unlike absl::Hash.
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
    const auto place = static_cast<std::uint32_t>(servers_.size());
    if (places_.emplace(server, place).second)
        servers_.push_back(server);
}

void server_pool::erase(server_index server)
{
    const auto found = places_.find(server);
    if (found == places_.end())
        return;
    const std::uint32_t place = found->second;
    places_.erase(found);
    const server_index last = servers_.back();
    servers_.pop_back();
    if (last == server)
        return;
    servers_[place] = last;
    places_[last] = place;
}

void server_pool::clear()
{
    servers_.clear();
    places_.clear();
}

server_table::server_table(const decider_settings& settings)
    : settings_(settings)
{
}

void server_table::apply(const std::vector<core::backend_server>& servers,
                         absl::Time now)
{
    for (server_state& state : servers_)
        state.present = false;
    std::ranges::for_each(servers,
                          [this](const auto& each) { take_server(each); });
    rebuild_routes(now);
}

void server_table::take_server(const core::backend_server& server)
{
    const auto next = static_cast<server_index>(servers_.size());
    const auto [found, added] = indices_.try_emplace(server.id, next);
    if (added)
        servers_.push_back(server_state{
            .server = {},
            .limit = concurrency_limit(settings_.limit, server.slots),
            .health = server_health(settings_.ejection)});
    server_state& state = servers_[found->second];
    state.server = server;
    state.hash = stable_hash(server.id.value());
    state.present = true;
    state.near = server.location.region == settings_.location.region;
    state.limit.set_slots(server.slots);
}

void server_table::rebuild_routes(absl::Time now)
{
    route fresh;
    fresh.all_far = true;
    std::ranges::fill(routes_, fresh);
    for (server_index i = 0; i < servers_.size(); ++i)
        add_to_routes(i);
    for (server_index i = 0; i < servers_.size(); ++i) {
        const server_state& state = servers_[i];
        for (const route_index index : state.routes) {
            route& of = routes_[index];
            capacity_for(of, state).in_flight += state.in_flight;
            if (counts_as_near(of, state) && state.present &&
                !state.server.leaving)
                of.homes.add(i, state.hash);
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
            routes_.back().all_far = true;
        }
        const route_index index = found->second;
        if (std::ranges::find(state.routes, index) != state.routes.end())
            continue;
        state.routes.push_back(index);
        if (!state.present || state.server.leaving)
            continue;
        route& of = routes_[index];
        ++of.servers;
        of.ejected += state.health.state() == health_state::ejected ? 1 : 0;
        of.resuming_servers += state.server.resumes_streams ? 1 : 0;
        of.all_far = of.all_far && !state.near;
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
    const std::string& wanted = request.model.value().empty()
                                    ? request.service_class.value()
                                    : request.model.value();
    const auto found = route_indices_.find(wanted);
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

bool server_table::usable(const server_state& state, absl::Time now) const
{
    return state.present && !state.server.leaving &&
           state.health.state() != health_state::ejected &&
           now >= state.refused_until;
}

std::uint32_t server_table::limit_of(const server_state& state) const
{
    return state.health.state() == health_state::probing ? 1
                                                         : state.limit.value();
}

void server_table::refresh(server_index server, absl::Time now)
{
    const server_state& state = servers_[server];
    count(server, usable(state, now) ? limit_of(state) : 0);
}

void server_table::count(server_index server, std::uint32_t slots)
{
    server_state& state = servers_[server];
    const std::uint32_t free_now =
        slots > state.in_flight ? slots - state.in_flight : 0;
    const bool moved = (free_now > 0) != (state.counted_free > 0);
    for (const route_index index : state.routes) {
        route& of = routes_[index];
        capacity& sums = capacity_for(of, state);
        sums.slots = sums.slots + slots - state.counted_slots;
        sums.free_slots = sums.free_slots + free_now - state.counted_free;
        if (moved)
            set_free(of, server, free_now > 0);
    }
    state.counted_slots = slots;
    state.counted_free = free_now;
}

void server_table::set_free(route& of, server_index server, bool is_free)
{
    const server_state& state = servers_[server];
    const bool near = counts_as_near(of, state);
    const auto change = [&](server_pool& pool) {
        if (is_free)
            pool.insert(server);
        else
            pool.erase(server);
    };
    change(near ? of.near_free : of.far_free);
    if (state.server.resumes_streams)
        change(near ? of.near_resuming : of.far_resuming);
}

bool server_table::try_eject(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    const bool room = std::ranges::all_of(state.routes, [&](route_index index) {
        const route& of = routes_[index];
        const auto part = static_cast<std::uint32_t>(
            settings_.ejection.most_ejected * of.servers);
        return of.ejected < std::max(part, of.servers > 1 ? 1U : 0U);
    });
    const bool stays = state.present && !state.server.leaving;
    if (!state.health.is_outlier() || !room || !stays)
        return false;
    state.health.eject(now);
    for (const route_index index : state.routes)
        ++routes_[index].ejected;
    refresh(server, now);
    return true;
}

bool server_table::try_probe(server_index server, absl::Time now)
{
    server_state& state = servers_[server];
    if (state.health.state() != health_state::ejected ||
        now < state.health.out_until())
        return false;
    state.health.probe();
    if (state.present && !state.server.leaving)
        for (const route_index index : state.routes)
            --routes_[index].ejected;
    refresh(server, now);
    return true;
}

} // namespace oriolefall::decision
