#include "oriolefall/decision/placement.hpp"

#include <algorithm>
#include <functional>

namespace oriolefall::decision {

namespace {

/// Equal heads of different workspaces are kept apart.
std::uint64_t head_of(const core::request& request)
{
    if (request.prefix_hash == 0)
        return 0;
    const std::string& name = request.workspace.value();
    std::uint64_t hash = request.prefix_hash;
    for (const char letter : name)
        hash = hash * 31 + static_cast<unsigned char>(letter);
    return mix_hash(hash, name.size());
}

const server_pool& pool_of(const route& of, bool resumes, bool far)
{
    if (resumes)
        return far ? of.far_resuming : of.near_resuming;
    return far ? of.far_free : of.near_free;
}

} // namespace

placement::placement(const decider_settings& settings,
                     placement_score_hook score)
    : settings_(settings.placement), score_(std::move(score)),
      memory_(settings.placement.remembered_prefixes), random_(settings.seed)
{
}

std::optional<placement_choice> placement::choose(const server_table& servers,
                                                  const placement_need& need,
                                                  bool far, absl::Time now)
{
    const route& of = servers.route_at(need.route);
    const server_pool& pool = pool_of(of, need.resumes, far);
    const std::vector<server_index>& free = pool.servers();
    if (free.empty())
        return std::nullopt;
    std::optional<placement_choice> best;
    const auto consider = [&](server_index candidate, bool is_home) {
        const double score = score_of(servers, need, candidate, is_home, now);
        if (!best || score < best->score)
            best = placement_choice{candidate, score};
    };
    const std::uint64_t head = head_of(need.request);
    const auto home = head == 0 || far ? std::nullopt : of.homes.home(head);
    if (home && pool.contains(*home))
        consider(*home, true);
    if (free.size() <= settings_.candidates) {
        for (const server_index candidate : free)
            consider(candidate, false);
        return best;
    }
    for (std::uint32_t drawn = 0; drawn < settings_.candidates; ++drawn)
        consider(free[random_() % free.size()], false);
    return best;
}

void placement::on_placed(const server_table& servers,
                          const core::request& request, server_index server,
                          absl::Time now)
{
    const std::uint64_t head = head_of(request);
    if (head != 0)
        memory_.remember(head, servers.at(server).hash, now);
}

double placement::score_of(const server_table& servers,
                           const placement_need& need, server_index candidate,
                           bool is_home, absl::Time now) const
{
    const server_state& state = servers.at(candidate);
    const std::uint64_t head = head_of(need.request);
    return score_(placement_view{
        .slots = state.server.slots,
        .in_flight = state.in_flight,
        .others = state.load.others(now, settings_.report_half_life),
        .slowness = state.health.slowness(),
        .recent_prefix = head != 0 && memory_.holds(head, state.hash, now,
                                                    settings_.prefix_lifetime),
        .home_prefix = is_home,
        .failed_before = need.failed_at == candidate});
}

} // namespace oriolefall::decision
