#ifndef ORIOLEFALL_SETTINGS_UNITS_HPP
#define ORIOLEFALL_SETTINGS_UNITS_HPP

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// Parses a finite, non-negative duration with its unit, such as "660ms" or
/// "1m30s"; nullopt for anything else, such as a missing unit. Thread-safe.
[[nodiscard]] std::optional<absl::Duration>
parse_duration(std::string_view text);
/// The inverse of `parse_duration`.
[[nodiscard]] std::string format_duration(absl::Duration value);

/// Parses a byte count with its unit, such as "512B", "16KiB", "1MiB" or
/// "2GiB"; nullopt for anything else, such as a missing unit or an overflow.
/// Thread-safe.
[[nodiscard]] std::optional<std::uint64_t> parse_bytes(std::string_view text);
/// The inverse of `parse_bytes`, in the largest unit that divides `value`.
[[nodiscard]] std::string format_bytes(std::uint64_t value);

} // namespace oriolefall::settings

#endif
