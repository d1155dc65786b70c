#include "oriolefall/objects/backoff.hpp"

#include <algorithm>
#include <random>

namespace oriolefall::objects {

double draw_uniform()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

absl::Duration backoff_delay(const backoff_settings& settings,
                             std::uint32_t retry, const random_hook& random)
{
    constexpr std::uint32_t max_doublings = 20;
    const std::int64_t factor = std::int64_t{1}
                                << std::min(retry, max_doublings);
    const absl::Duration limit =
        std::min(settings.max_delay, settings.initial_max_delay * factor);
    return limit * random();
}

} // namespace oriolefall::objects
