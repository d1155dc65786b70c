#include "oriolefall/settings/units.hpp"

#include "oriolefall/core/concat.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <array>
#include <limits>

namespace oriolefall::settings {

namespace {

struct byte_unit
{
    std::string_view suffix;
    std::uint64_t bytes;
};

/// Sorted from the largest unit to the smallest. "B" has to be last, since
/// every other suffix ends in it.
constexpr std::array<byte_unit, 4> byte_units{{{"GiB", 1ULL << 30U},
                                               {"MiB", 1ULL << 20U},
                                               {"KiB", 1ULL << 10U},
                                               {"B", 1}}};

bool starts_with_digit(std::string_view text)
{
    return !text.empty() &&
           absl::ascii_isdigit(static_cast<unsigned char>(text.front()));
}

} // namespace

std::optional<absl::Duration> parse_duration(std::string_view text)
{
    absl::Duration value;
    if (!starts_with_digit(text) ||
        !absl::ascii_isalpha(static_cast<unsigned char>(text.back())))
        return std::nullopt;
    if (!absl::ParseDuration(std::string(text), &value) ||
        value == absl::InfiniteDuration())
        return std::nullopt;
    return value;
}

std::string format_duration(absl::Duration value)
{
    return value == absl::ZeroDuration() ? "0s" : absl::FormatDuration(value);
}

std::optional<std::uint64_t> parse_bytes(std::string_view text)
{
    const auto unit =
        std::ranges::find_if(byte_units, [&](const auto& candidate) {
            return text.ends_with(candidate.suffix);
        });
    if (!starts_with_digit(text) || unit == byte_units.end())
        return std::nullopt;
    text.remove_suffix(unit->suffix.size());
    std::uint64_t count = 0;
    if (!absl::SimpleAtoi(std::string(text), &count) ||
        count > std::numeric_limits<std::uint64_t>::max() / unit->bytes)
        return std::nullopt;
    return count * unit->bytes;
}

std::string format_bytes(std::uint64_t value)
{
    const auto unit =
        std::ranges::find_if(byte_units, [&](const auto& candidate) {
            return value % candidate.bytes == 0 &&
                   (value > 0 || candidate.bytes == 1);
        });
    return core::concat(value / unit->bytes, unit->suffix);
}

} // namespace oriolefall::settings
