#include "oriolefall/settings/tree_object.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <vector>

namespace oriolefall::settings {

namespace {

bool is_segment_character(unsigned char c)
{
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

/// Whether `segment` is a valid path segment. "." and ".." are refused, since
/// they could denote another path.
bool is_segment(std::string_view segment)
{
    return !segment.empty() && segment != "." && segment != ".." &&
           std::ranges::all_of(segment, is_segment_character);
}

std::vector<std::string_view> split_path(std::string_view text)
{
    std::vector<std::string_view> segments;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find('/', begin);
        segments.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
            return segments;
        begin = end + 1;
    }
}

} // namespace

std::optional<core::team_name> team_of(std::string_view path)
{
    constexpr std::size_t min_segment_count = 2;
    if (!path.starts_with(tree_root))
        return std::nullopt;
    const auto segments = split_path(path.substr(tree_root.size()));
    if (segments.size() < min_segment_count ||
        !std::ranges::all_of(segments, is_segment))
        return std::nullopt;
    return core::team_name(std::string(segments.front()));
}

bool is_move_path(std::string_view path)
{
    constexpr std::size_t move_segment_count = 3;
    if (!team_of(path))
        return false;
    const auto segments = split_path(path.substr(tree_root.size()));
    return segments.size() == move_segment_count && segments[1] == "moves";
}

} // namespace oriolefall::settings
