#include "oriolefall/dispatch/service_pool.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <string>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Marks the two affinity servers of a key among the servers that `is_allowed`
/// accepts: those with the highest rendezvous hashing weight, which are the
/// same on all instances.
template <class Predicate>
void rank_affinity_servers(std::vector<server_view>& views, std::uint64_t key,
                           Predicate is_allowed)
{
    const std::string key_text = std::to_string(key);
    server_view* first = nullptr;
    server_view* second = nullptr;
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (server_view& view : views) {
        const auto& entry = view.server.entry();
        if (entry.is_draining || !is_allowed(view))
            continue;
        const auto weight =
            membership::rendezvous_weight(key_text, entry.id.value());
        if (first == nullptr || weight > first_weight) {
            second = std::exchange(first, &view);
            second_weight = std::exchange(first_weight, weight);
        } else if (second == nullptr || weight > second_weight) {
            second = &view;
            second_weight = weight;
        }
    }
    if (first != nullptr)
        first->affinity_rank = 1;
    if (second != nullptr)
        second->affinity_rank = 2;
}

} // namespace

service_pool::service_pool(const lane_settings& lanes,
                           const placement_settings& placement)
    : placement_(placement), lanes_(lanes)
{
}

void service_pool::set_servers(std::vector<server_state*> servers)
{
    servers_.clear();
    std::ranges::transform(
        servers, std::back_inserter(servers_), [](server_state* each) {
            return pooled_server{each, lane_position(each->entry().id)};
        });
    lanes_.set_engine_count(servers_.size());
}

engine_lanes& service_pool::lanes()
{
    return lanes_;
}

std::vector<server_view> service_pool::views(const placement_query& query,
                                             const peer_load& peers,
                                             std::uint64_t random) const
{
    const bool is_divided = query.is_engine && lanes_.is_divided();
    std::vector<server_view> views;
    views.reserve(servers_.size());
    for (const pooled_server& each : servers_) {
        const auto reported = peers.at_server(each.state->entry().id);
        server_view view{*each.state, 0, reported.calls,
                         reported.backlog_tokens};
        view.is_other_lane =
            is_divided && lanes_.lane_at(each.lane_position) != query.lane;
        views.push_back(view);
    }
    if (query.prompt.size() < 2)
        return views;
    const auto is_own_lane = [](const server_view& view) {
        return !view.is_other_lane;
    };
    const std::uint32_t shared =
        total_tokens(query.prompt) - query.prompt.back().tokens;
    if (!is_divided || shared >= placement_.min_affinity_tokens) {
        rank_affinity_servers(views, affinity_key(query.prompt), is_own_lane);
        return views;
    }
    // A short shared part is soon read. A key that is asked for often would
    // overload a few engines.
    rank_affinity_servers(views, random, [&](const server_view& view) {
        return is_own_lane(view) &&
               view.server.entry().location.region == query.own_region;
    });
    return views;
}

double service_pool::mean_slowness() const
{
    if (servers_.empty())
        return 1;
    return std::accumulate(servers_.begin(), servers_.end(), 0.0,
                           [](double sum, const auto& each) {
                               return sum + each.state->slowness();
                           }) /
           static_cast<double>(servers_.size());
}

} // namespace oriolefall::dispatch
