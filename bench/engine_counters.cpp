#include "bench/engine_counters.hpp"

#include "oriolefall/core/tier.hpp"

#include <algorithm>
#include <functional>
#include <httplib.h>

namespace oriolefall::bench {

std::optional<nlohmann::json> read_stats(const core::endpoint& stand_in)
{
    httplib::Client client(stand_in.address, stand_in.port);
    const auto answer = client.Get("/stats");
    if (!answer)
        return std::nullopt;
    auto stats = nlohmann::json::parse(answer->body, nullptr, false);
    if (!stats.is_object())
        return std::nullopt;
    return stats;
}

engine_work read_engine_work(const std::vector<core::endpoint>& engines)
{
    engine_work sum;
    sum.tokens_by_priority.resize(core::tier_count);
    for (const core::endpoint& engine : engines) {
        const auto stats = read_stats(engine);
        if (!stats || !stats->contains("tokens_by_priority"))
            continue;
        sum.tokens += stats->value("tokens_computed", std::uint64_t{0});
        const auto tokens =
            stats->at("tokens_by_priority").get<std::vector<std::uint64_t>>();
        std::ranges::transform(tokens, sum.tokens_by_priority,
                               sum.tokens_by_priority.begin(), std::plus{});
    }
    return sum;
}

engine_work operator-(const engine_work& later, const engine_work& earlier)
{
    engine_work between{later.tokens - earlier.tokens, {}};
    between.tokens_by_priority.resize(later.tokens_by_priority.size());
    std::ranges::transform(later.tokens_by_priority, earlier.tokens_by_priority,
                           between.tokens_by_priority.begin(), std::minus{});
    return between;
}

} // namespace oriolefall::bench
