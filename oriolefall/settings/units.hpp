#ifndef ORIOLEFALL_SETTINGS_UNITS_HPP
#define ORIOLEFALL_SETTINGS_UNITS_HPP

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// A finite duration, zero or more, with its unit: "660ms", "1m30s". Nothing
/// when the unit is missing. Any thread.
[[nodiscard]] std::optional<absl::Duration>
parse_duration(std::string_view text);
/// The inverse of `parse_duration`.
[[nodiscard]] std::string print_duration(absl::Duration value);

/// A count of bytes with its unit: "512B", "16KiB", "1MiB", "2GiB". Nothing
/// when the unit is missing. Any thread.
[[nodiscard]] std::optional<std::uint64_t> parse_bytes(std::string_view text);
/// The inverse of `parse_bytes`, in the largest unit that divides `value`.
[[nodiscard]] std::string print_bytes(std::uint64_t value);

} // namespace oriolefall::settings

#endif
