#include "oriolefall/dispatch/service_pool.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <cstdint>
#include <numeric>
#include <string>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Marks the two affinity servers of a shared prompt: those with the highest
/// rendezvous hashing weight, which are the same on all instances.
void rank_affinity_servers(std::vector<server_view>& views,
                           std::span<const prompt_part> prompt)
{
    if (prompt.size() < 2)
        return;
    const std::string key = std::to_string(affinity_key(prompt));
    server_view* first = nullptr;
    server_view* second = nullptr;
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (server_view& view : views) {
        const auto& entry = view.server.entry();
        if (entry.is_draining)
            continue;
        const auto weight =
            membership::rendezvous_weight(key, entry.id.value());
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

void service_pool::set_servers(std::vector<server_state*> servers)
{
    servers_ = std::move(servers);
}

std::vector<server_view>
service_pool::views(std::span<const prompt_part> prompt,
                    const peer_load& peers) const
{
    std::vector<server_view> views;
    views.reserve(servers_.size());
    for (const server_state* server : servers_) {
        const peer_load::totals reported = peers.at_server(server->entry().id);
        views.push_back({*server, 0, reported.calls, reported.backlog_tokens});
    }
    rank_affinity_servers(views, prompt);
    return views;
}

double service_pool::mean_slowness() const
{
    if (servers_.empty())
        return 1;
    return std::accumulate(servers_.begin(), servers_.end(), 0.0,
                           [](double sum, const auto* each) {
                               return sum + each->slowness();
                           }) /
           static_cast<double>(servers_.size());
}

} // namespace oriolefall::dispatch
