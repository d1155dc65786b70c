#ifndef ORIOLEFALL_CORE_TIER_HPP
#define ORIOLEFALL_CORE_TIER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace oriolefall::core {

/// Service level. Requests of a lower value are never shed or preempted in
/// favour of those of a higher value.
enum class tier : std::uint8_t
{
    interactive = 0,
    standard = 1,
    batch = 2
};

inline constexpr std::size_t tier_count = 3;
inline constexpr std::array<tier, tier_count> all_tiers{
    tier::interactive, tier::standard, tier::batch};

/// The name used in settings, logs and metrics.
[[nodiscard]] std::string_view to_string(tier value);
/// The inverse of `to_string`; nullopt for an unknown name.
[[nodiscard]] std::optional<tier> parse_tier(std::string_view name);

} // namespace oriolefall::core

#endif
