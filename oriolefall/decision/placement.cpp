#include "oriolefall/decision/placement.hpp"

#include <algorithm>
#include <functional>

namespace oriolefall::decision {

namespace {

/// Equal prefixes of different workspaces have different keys.
std::uint64_t prefix_key_of(const core::request& request)
{
    if (request.prefix_hash == 0)
        return 0;
    const std::string& name = request.workspace.value();
    std::uint64_t hash = request.prefix_hash;
    for (const char letter : name)
        hash = hash * 31 + static_cast<unsigned char>(letter);
    return mix_hash(hash, name.size());
}

const server_pool& pool_of(const route& entry, bool is_resuming, bool is_remote)
{
    if (is_resuming)
        return is_remote ? entry.remote_resuming : entry.local_resuming;
    return is_remote ? entry.remote_free : entry.local_free;
}

} // namespace

placement::placement(const decider_settings& settings,
                     placement_score_hook score)
    : settings_(settings.placement), score_hook_(std::move(score)),
      history_(settings.placement.prefix_history_size), random_(settings.seed)
{
}

std::optional<placement_choice>
placement::choose(const server_table& servers, const placement_context& context,
                  bool is_remote, absl::Time now)
{
    const route& entry = servers.route_at(context.route);
    const server_pool& pool = pool_of(entry, context.is_resuming, is_remote);
    const std::vector<server_index>& free = pool.servers();
    if (free.empty())
        return std::nullopt;
    std::optional<placement_choice> best;
    const auto consider = [&](server_index candidate, bool is_affinity_server) {
        const double score =
            score_of(servers, context, candidate, is_affinity_server, now);
        if (!best || score < best->score)
            best = placement_choice{candidate, score};
    };
    const std::uint64_t prefix_key = prefix_key_of(context.request);
    const auto affinity_server =
        prefix_key == 0 || is_remote
            ? std::nullopt
            : entry.affinity_servers.select(prefix_key);
    if (affinity_server && pool.contains(*affinity_server))
        consider(*affinity_server, true);
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
    const std::uint64_t prefix_key = prefix_key_of(request);
    if (prefix_key != 0)
        history_.record(prefix_key, servers.at(server).hash, now);
}

double placement::score_of(const server_table& servers,
                           const placement_context& context,
                           server_index candidate, bool is_affinity_server,
                           absl::Time now) const
{
    const server_state& state = servers.at(candidate);
    const std::uint64_t prefix_key = prefix_key_of(context.request);
    return score_hook_(placement_view{
        .slots = state.server.slots,
        .in_flight = state.in_flight,
        .other_calls = state.load.other_calls(now, settings_.report_half_life),
        .slowness = state.health.slowness(),
        .has_recent_prefix =
            prefix_key != 0 && history_.was_sent(prefix_key, state.hash, now,
                                                 settings_.prefix_lifetime),
        .is_affinity_server = is_affinity_server,
        .has_failed_before = context.failed_server == candidate});
}

} // namespace oriolefall::decision
