#ifndef ORIOLEFALL_DECISION_SERVER_TABLE_HPP
#define ORIOLEFALL_DECISION_SERVER_TABLE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/core/request.hpp"
#include "oriolefall/decision/decider_settings.hpp"
#include "oriolefall/decision/load_estimate.hpp"
#include "oriolefall/decision/prefix_affinity.hpp"
#include "oriolefall/decision/server_health.hpp"
#include "oriolefall/scheduling/concurrency_limit.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::decision {

using server_index = std::uint32_t;
using route_index = std::uint32_t;

/// One backend server and what this instance has observed of it.
struct server_state
{
    core::backend_server server;
    std::uint64_t hash = 0;
    /// False once the current settings no longer contain the server.
    bool is_configured = false;
    /// The server is in the region of this instance.
    bool is_local = false;
    std::uint32_t in_flight = 0;
    scheduling::concurrency_limit limit;
    server_health health;
    load_estimate load = {};
    absl::Time refused_until = absl::InfinitePast();
    /// Slots and free slots that the server currently contributes to its
    /// routes.
    std::uint32_t counted_slots = 0;
    std::uint32_t counted_free = 0;
    std::vector<route_index> routes = {};
};

/// Set of servers with a free slot; supports uniform random draws.
class server_pool
{
public:
    void insert(server_index server);
    void erase(server_index server);
    void clear();
    [[nodiscard]] bool contains(server_index server) const
    {
        return positions_.contains(server);
    }
    [[nodiscard]] const std::vector<server_index>& servers() const
    {
        return servers_;
    }

private:
    std::vector<server_index> servers_;
    absl::flat_hash_map<server_index, std::uint32_t> positions_;
};

/// Sums over the usable servers of a route, local or remote.
struct capacity
{
    std::uint32_t slots = 0;
    std::uint32_t free_slots = 0;
    /// Calls open at the servers, including leaving ones.
    std::uint32_t in_flight = 0;
    auto operator<=>(const capacity&) const = default;
};

/// Sum of both capacities.
[[nodiscard]] inline capacity operator+(const capacity& left,
                                        const capacity& right)
{
    return capacity{left.slots + right.slots,
                    left.free_slots + right.free_slots,
                    left.in_flight + right.in_flight};
}

/// The servers that answer one model or one class of a plain service.
struct route
{
    /// Servers that are in the settings and not leaving.
    std::uint32_t servers = 0;
    std::uint32_t ejected = 0;
    /// True if no server is in the region of this instance; all then count as
    /// local.
    bool is_all_remote = false;
    server_pool local_free;
    server_pool remote_free;
    /// Servers with a free slot that can resume interrupted streams.
    server_pool local_resuming;
    server_pool remote_resuming;
    /// All servers that can resume interrupted streams, free or not.
    std::uint32_t resuming_servers = 0;
    /// Selects the affinity server of a prompt prefix among the local servers.
    rendezvous_index affinity_servers;
    capacity local;
    capacity remote;
    /// Routes that share servers, directly or through other routes, have the
    /// same group.
    std::uint32_t group = 0;
};

/// All backend servers, indexed by the routes that they serve, so that no event
/// except new settings has to visit all of them.
class server_table
{
public:
    explicit server_table(const decider_settings& settings);

    /// Applies the servers of new settings, in time linear in their number.
    void apply(const std::vector<core::backend_server>& servers,
               absl::Time now);

    [[nodiscard]] std::optional<server_index>
    find(const core::backend_server_id& id) const;
    /// The route of a request; empty if no server has ever served it.
    [[nodiscard]] std::optional<route_index>
    find_route(const core::request& request) const;

    [[nodiscard]] server_state& at(server_index server)
    {
        return servers_[server];
    }
    [[nodiscard]] const server_state& at(server_index server) const
    {
        return servers_[server];
    }
    [[nodiscard]] const route& route_at(route_index index) const
    {
        return routes_[index];
    }
    [[nodiscard]] std::size_t route_count() const
    {
        return routes_.size();
    }
    [[nodiscard]] const std::vector<route_index>&
    group_of(route_index index) const
    {
        return groups_[routes_[index].group];
    }

    void call_started(server_index server, absl::Time now);
    void call_ended(server_index server, absl::Time now);
    /// Updates the routes after `server` has changed.
    void refresh(server_index server, absl::Time now);
    /// Ejects an outlier unless too many servers are ejected; true if it did.
    bool try_eject(server_index server, absl::Time now);
    /// Starts the probation of a server whose ejection has expired; true if it
    /// did.
    bool try_start_probe(server_index server, absl::Time now);

private:
    void update_server(const core::backend_server& server);
    void rebuild_routes(absl::Time now);
    void add_to_routes(server_index server);
    void build_groups();
    void update_counts(server_index server, std::uint32_t slots);
    [[nodiscard]] capacity& capacity_for(route& entry,
                                         const server_state& state) const
    {
        return counts_as_local(entry, state) ? entry.local : entry.remote;
    }
    void update_pools(route& entry, server_index server, bool is_free);
    [[nodiscard]] bool is_usable(const server_state& state,
                                 absl::Time now) const;
    [[nodiscard]] std::uint32_t call_limit_of(const server_state& state) const;
    [[nodiscard]] bool counts_as_local(const route& entry,
                                       const server_state& state) const
    {
        return state.is_local || entry.is_all_remote;
    }

    decider_settings settings_;
    std::vector<server_state> servers_;
    absl::flat_hash_map<core::backend_server_id, server_index> indices_;
    std::vector<route> routes_;
    absl::flat_hash_map<std::string, route_index> route_indices_;
    std::vector<std::vector<route_index>> groups_;
};

} // namespace oriolefall::decision

#endif
