#include "oriolefall/core/tier.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::core {

namespace {
constexpr std::array<std::string_view, tier_count> names{"interactive",
                                                         "standard", "batch"};
} // namespace

std::string_view to_string(tier value)
{
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

std::optional<tier> parse_tier(std::string_view name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end())
        return std::nullopt;
    return all_tiers[static_cast<std::size_t>(found - names.begin())];
}

} // namespace oriolefall::core
