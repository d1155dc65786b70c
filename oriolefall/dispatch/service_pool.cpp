#include "oriolefall/dispatch/service_pool.hpp"

#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

namespace oriolefall::dispatch {

namespace {

constexpr double ms_per_s = 1000;
/// A lane that is used at all is planned at least this part of an engine.
constexpr double least_need = 0.2;

std::uint64_t lane_order(const server_state* server)
{
    return membership::rendezvous_weight("lanes", server->entry().id.value());
}

} // namespace

service_pool::service_pool(const pool_settings& settings) : settings_(settings)
{
}

void service_pool::set_servers(std::vector<server_state*> servers)
{
    servers_ = std::move(servers);
    std::ranges::sort(servers_, {}, lane_order);
    planned_at_ = absl::InfinitePast();
}

const std::vector<server_state*>& service_pool::servers() const
{
    return servers_;
}

lane_meter& service_pool::lane(std::uint64_t key, absl::Duration goal)
{
    lane_state& found = lanes_[key];
    found.goal = goal;
    return found.meter;
}

void service_pool::plan(absl::Time now, const fleet_load& others)
{
    if (now < planned_at_ + settings_.plan_interval)
        return;
    planned_at_ = now;
    std::vector<lane_need> needs;
    for (const auto& [key, lane] : lanes_)
        needs.push_back(need_of(now, key, lane, others));
    const auto usable = std::ranges::count_if(
        servers_, [](const auto* each) { return !each->entry().leaving; });
    parts_ = plan_lanes(std::move(needs), static_cast<std::size_t>(usable),
                        settings_.lanes);
}

lane_need service_pool::need_of(absl::Time now, std::uint64_t key,
                                const lane_state& lane,
                                const fleet_load& others) const
{
    const fleet_load::sum other = others.in_lane(key);
    const double tokens = lane.meter.tokens_per_s(now) + other.tokens;
    const double calls = lane.meter.calls() + other.calls;
    const double reads_per_s =
        settings_.placement.read_tokens_per_ms * ms_per_s / mean_slowness();
    const double slots =
        servers_.empty() ? 1 : std::max(servers_.front()->entry().slots, 1U);
    const double engines = tokens / (reads_per_s * settings_.planned_reading) +
                           calls / (slots * settings_.planned_slots);
    return {key, lane.goal, std::max(engines, least_need)};
}

std::vector<server_view>
service_pool::views(std::uint64_t lane, std::span<const prompt_part> prompt,
                    const fleet_load& others) const
{
    const auto part = std::ranges::find(parts_, lane, &lane_part::lane);
    const auto usable = static_cast<std::size_t>(std::ranges::count_if(
        servers_, [](const auto* each) { return !each->entry().leaving; }));
    std::vector<server_view> views;
    views.reserve(servers_.size());
    std::size_t place = 0;
    for (const server_state* server : servers_) {
        const fleet_load::sum other = others.at_server(server->entry().id);
        server_view view{*server, 0, true, other.calls, other.tokens};
        if (server->entry().leaving)
            view.is_in_lane = false;
        else if (part != parts_.end())
            view.is_in_lane = usable > 0;
        if (!server->entry().leaving)
            ++place;
        views.push_back(view);
    }
    rank_homes(views, prompt);
    return views;
}

void service_pool::rank_homes(std::vector<server_view>& views,
                              std::span<const prompt_part> prompt) const
{
    if (prompt.size() < 2)
        return;
    const std::string key = std::to_string(home_key(prompt));
    server_view* first = nullptr;
    server_view* second = nullptr;
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
    for (server_view& view : views) {
        if (!view.is_in_lane)
            continue;
        const auto weight = membership::rendezvous_weight(
            key, view.server.entry().id.value());
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

void service_pool::report_lanes(absl::Time now,
                                std::vector<lane_share>& out) const
{
    for (const auto& [key, lane] : lanes_) {
        const auto tokens =
            static_cast<std::uint32_t>(lane.meter.tokens_per_s(now));
        if (tokens > 0 || lane.meter.calls() > 0)
            out.push_back({key, lane.meter.calls(), tokens});
    }
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
