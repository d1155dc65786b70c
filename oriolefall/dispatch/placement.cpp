#include "oriolefall/dispatch/placement.hpp"

#include <algorithm>
#include <numeric>

namespace oriolefall::dispatch {

namespace {

constexpr double bytes_per_kib = 1024;

double far_cost(const placement_settings& settings,
                const placement_facts& facts, const server_state& server)
{
    if (server.entry().location.region == facts.here)
        return 0;
    return settings.far_ms +
           settings.far_ms_per_kib * facts.body_bytes / bytes_per_kib;
}

double engine_cost(const placement_settings& settings,
                   const placement_facts& facts, const server_view& view)
{
    const double to_read = expected_to_read(settings, facts.prompt, view);
    return expected_first_event(settings, view, to_read) +
           settings.ms_per_token_read * to_read;
}

/// Calls there for each slot.
double plain_load(const server_view& view, absl::Time now)
{
    const double slots = std::max(view.server.entry().slots, 1U);
    return std::max(view.server.calls_there(now),
                    view.server.own_calls() + view.other_calls) /
           slots;
}

double home_share(const placement_settings& settings, unsigned rank)
{
    if (rank == 0)
        return 0;
    return rank == 1 ? settings.first_home_share : settings.second_home_share;
}

} // namespace

placement_hook expected_time(placement_settings settings)
{
    return [settings](const placement_facts& facts, const server_view& view) {
        const double far = far_cost(settings, facts, view.server);
        const double warm_up =
            absl::ToDoubleMilliseconds(view.server.entry().warmup_left) / 2;
        if (!facts.is_engine)
            return far + warm_up +
                   settings.plain_call_ms * plain_load(view, facts.now);
        return far + warm_up + engine_cost(settings, facts, view);
    };
}

double expected_first_event(const placement_settings& settings,
                            const server_view& view, double tokens_to_read)
{
    const server_state& server = view.server;
    const double backlog = static_cast<double>(server.own_backlog_tokens()) +
                           view.other_backlog_tokens;
    const double calls = server.own_calls() + view.other_calls;
    return settings.first_event_ms +
           server.slowness() *
               ((tokens_to_read + backlog) / settings.read_tokens_per_ms) +
           settings.ms_per_running_call * calls;
}

double expected_plain_answer(const placement_settings& settings,
                             const server_view& view, absl::Time now)
{
    return settings.plain_call_ms * std::max(1.0, plain_load(view, now));
}

std::uint32_t expected_to_read(const placement_settings& settings,
                               std::span<const prompt_part> prompt,
                               const server_view& view)
{
    const std::uint32_t all = total_tokens(prompt);
    const double kept = view.server.cache().kept_tokens(prompt);
    const double shared = prompt.empty() ? 0 : all - prompt.back().tokens;
    const double by_home = shared * home_share(settings, view.home_rank);
    return all - static_cast<std::uint32_t>(std::max(kept, by_home));
}

std::uint32_t total_tokens(std::span<const prompt_part> prompt)
{
    return std::accumulate(
        prompt.begin(), prompt.end(), 0U,
        [](std::uint32_t sum, const auto& part) { return sum + part.tokens; });
}

std::uint64_t home_key(std::span<const prompt_part> prompt)
{
    if (prompt.size() < 2)
        return prompt.empty() ? 0 : prompt.front().id;
    return prompt[prompt.size() - 2].id;
}

} // namespace oriolefall::dispatch
