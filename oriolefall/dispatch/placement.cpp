#include "oriolefall/dispatch/placement.hpp"

#include <algorithm>
#include <numeric>

namespace oriolefall::dispatch {

namespace {

constexpr double bytes_per_kib = 1024;

double cross_region_cost(const placement_settings& settings,
                         const placement_query& query,
                         const server_state& server)
{
    if (server.entry().location.region == query.own_region)
        return 0;
    return settings.cross_region_ms +
           settings.cross_region_ms_per_kib * query.body_bytes / bytes_per_kib;
}

/// Calls at the server as a share of those that it takes well.
double utilization(const learned_load& load)
{
    return load.calls / std::max(load.call_limit, 1.0);
}

double engine_cost(const placement_settings& settings,
                   const placement_query& query, const server_view& view)
{
    const double uncached_tokens =
        expected_uncached_tokens(settings, query.prompt, view);
    double expected_ms =
        expected_first_event_ms(settings, view, uncached_tokens);
    if (view.learned) {
        const double used = utilization(*view.learned);
        expected_ms += settings.utilization_ms * used * used;
        if (view.affinity_rank == 0 && query.prompt.size() > 1)
            expected_ms += settings.other_affinity_ms;
    }
    // A limit counts requests, so that an engine with one has time to read a
    // prompt again.
    if (view.server.limiter().limit())
        return expected_ms;
    return expected_ms + settings.extra_ms_per_uncached_token * uncached_tokens;
}

/// Cost of pauses between events that exceed the target of the route.
double pause_cost(const placement_settings& settings,
                  const placement_query& query, const server_view& view)
{
    // Streams of long prompts share their engines with others of their kind;
    // a pause is no reason to read a long prompt again elsewhere.
    if (!view.learned || query.lane != stream_lane::short_pauses ||
        query.gap_target == absl::InfiniteDuration())
        return 0;
    const double target_ms = settings.pause_target_share *
                             absl::ToDoubleMilliseconds(query.gap_target);
    const double cost =
        settings.mean_pause_cost *
            std::max(view.learned->mean_pause_ms - target_ms, 0.0) +
        settings.long_pause_cost *
            std::max(view.learned->long_pause_ms - target_ms, 0.0);
    return std::min(cost, settings.max_pause_cost_ms);
}

/// Calls at the server per slot.
double plain_load(const server_view& view, absl::Time now)
{
    if (view.learned)
        return view.learned->time_scale * utilization(*view.learned);
    const double slots = std::max(view.server.entry().slots, 1U);
    return std::max(view.server.estimated_calls(now),
                    view.server.own_calls() + view.other_calls) /
           slots;
}

double lane_cost(const placement_settings& settings,
                 const placement_query& query, const server_view& view)
{
    if (!view.is_other_lane)
        return 0;
    return query.lane == stream_lane::short_pauses
               ? settings.short_pauses_in_other_lane_ms
               : settings.long_prompt_in_other_lane_ms;
}

double limited_engine_cost(const placement_settings& settings,
                           const placement_query& query,
                           const server_view& view)
{
    if (!view.server.limiter().limit())
        return 0;
    const double longer_share = 1 - query.length_rank;
    const double available_share =
        query.limited_availability / settings.min_limited_availability;
    return settings.ms_per_token_below_mean_at_limited *
               (query.mean_prompt_tokens - total_tokens(query.prompt)) +
           settings.reserved_for_longer_ms *
               std::max(longer_share - available_share, 0.0);
}

double affinity_share(const placement_settings& settings, unsigned rank)
{
    if (rank == 0)
        return 0;
    return rank == 1 ? settings.first_affinity_share
                     : settings.second_affinity_share;
}

} // namespace

placement_cost_hook expected_time_cost(placement_settings settings)
{
    return [settings](const placement_query& query, const server_view& view) {
        const double cross_region =
            cross_region_cost(settings, query, view.server);
        const double warm_up =
            absl::ToDoubleMilliseconds(view.server.entry().warmup_left) / 2;
        if (!query.is_engine)
            return cross_region + warm_up +
                   settings.plain_call_ms * plain_load(view, query.now);
        return cross_region + warm_up + lane_cost(settings, query, view) +
               limited_engine_cost(settings, query, view) +
               pause_cost(settings, query, view) +
               engine_cost(settings, query, view);
    };
}

learned_load load_of(const server_state& server, absl::Time now)
{
    const server_capacity& capacity = server.capacity();
    learned_load load;
    load.calls = server.estimated_calls(now);
    load.call_limit = capacity.call_limit(now);
    load.time_scale = capacity.time_scale(now);
    load.wait_ms = capacity.expected_wait_ms(load.call_limit, load.calls);
    load.mean_pause_ms =
        capacity.expected_mean_pause_ms(now, load.time_scale, load.calls + 1);
    load.long_pause_ms =
        capacity.expected_long_pause_ms(now, load.time_scale, load.calls + 1);
    return load;
}

double expected_first_event_ms(const placement_settings& settings,
                               const server_view& view, double uncached_tokens)
{
    const server_state& server = view.server;
    const double backlog = static_cast<double>(server.own_backlog_tokens()) +
                           view.other_backlog_tokens;
    if (view.learned)
        return view.learned->wait_ms +
               view.learned->time_scale *
                   (settings.idle_first_event_ms +
                    (uncached_tokens + backlog) /
                        settings.prefill_tokens_per_ms +
                    settings.ms_at_call_limit * utilization(*view.learned));
    const double calls = server.own_calls() + view.other_calls;
    return settings.idle_first_event_ms +
           server.slowness() *
               ((uncached_tokens + backlog) / settings.prefill_tokens_per_ms) +
           settings.ms_per_running_call * calls;
}

double expected_plain_answer_ms(const placement_settings& settings,
                                const server_view& view, absl::Time now)
{
    return settings.plain_call_ms * std::max(1.0, plain_load(view, now));
}

std::uint32_t expected_uncached_tokens(const placement_settings& settings,
                                       std::span<const prompt_part> prompt,
                                       const server_view& view)
{
    const std::uint32_t all = total_tokens(prompt);
    const double cached = view.server.cache().cached_tokens(prompt);
    const double shared = prompt.empty() ? 0 : all - prompt.back().tokens;
    const double by_affinity =
        shared * affinity_share(settings, view.affinity_rank);
    return all - static_cast<std::uint32_t>(std::max(cached, by_affinity));
}

bool is_long(const placement_query& query)
{
    return total_tokens(query.prompt) > query.mean_prompt_tokens;
}

std::uint32_t total_tokens(std::span<const prompt_part> prompt)
{
    return std::accumulate(
        prompt.begin(), prompt.end(), 0U,
        [](std::uint32_t sum, const auto& part) { return sum + part.tokens; });
}

std::span<const prompt_part> shared_parts(std::span<const prompt_part> prompt)
{
    return prompt.first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::uint64_t affinity_key(std::span<const prompt_part> prompt)
{
    if (prompt.size() < 2)
        return prompt.empty() ? 0 : prompt.front().id;
    return prompt[prompt.size() - 2].id;
}

} // namespace oriolefall::dispatch
