#include "oriolefall/dispatch/service_pool.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <cstdint>
#include <numeric>
#include <string>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Finds the two homes of a shared prompt: the servers of highest weight by
/// rendezvous hashing, the same on all instances.
void rank_homes(std::vector<server_view>& views,
                std::span<const prompt_part> prompt)
{
    if (prompt.size() < 2)
        return;
    const std::string key = std::to_string(home_key(prompt));
    server_view* first = nullptr;
    server_view* second = nullptr;
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (server_view& view : views) {
        const auto& entry = view.server.entry();
        if (entry.leaving)
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
        first->home_rank = 1;
    if (second != nullptr)
        second->home_rank = 2;
}

} // namespace

void service_pool::set_servers(std::vector<server_state*> servers)
{
    servers_ = std::move(servers);
}

std::vector<server_view>
service_pool::views(std::span<const prompt_part> prompt,
                    const fleet_load& others) const
{
    std::vector<server_view> views;
    views.reserve(servers_.size());
    for (const server_state* server : servers_) {
        const fleet_load::sum other = others.at_server(server->entry().id);
        views.push_back({*server, 0, other.calls, other.backlog_tokens});
    }
    rank_homes(views, prompt);
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
