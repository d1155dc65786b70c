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
                   const placement_facts& facts, const server_state& server,
                   bool is_home)
{
    const std::uint32_t all = total_tokens(facts.prompt);
    double to_read = tokens_to_read(facts.prompt, server);
    if (is_home && !facts.prompt.empty()) {
        const double shared = all - facts.prompt.back().tokens;
        to_read = std::min(to_read, all - shared * settings.home_share);
    }
    const double backlog = static_cast<double>(server.own_backlog_tokens());
    return (to_read + backlog) / settings.read_tokens_per_ms +
           settings.ms_per_running_call * server.calls_there(facts.now);
}

double plain_cost(const placement_settings& settings,
                  const placement_facts& facts, const server_state& server)
{
    const double slots = std::max(server.entry().slots, 1U);
    return settings.plain_call_ms * server.calls_there(facts.now) / slots;
}

} // namespace

placement_hook expected_time(placement_settings settings)
{
    return [settings](const placement_facts& facts, const server_state& server,
                      bool is_home) {
        const double far = far_cost(settings, facts, server);
        const double warm_up =
            absl::ToDoubleMilliseconds(server.entry().warmup_left) / 2;
        if (!facts.is_engine)
            return far + warm_up + plain_cost(settings, facts, server);
        return far + warm_up + engine_cost(settings, facts, server, is_home);
    };
}

std::uint32_t tokens_to_read(std::span<const prompt_part> prompt,
                             const server_state& server)
{
    return total_tokens(prompt) - server.cache().kept_tokens(prompt);
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
