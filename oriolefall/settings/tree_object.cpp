#include "oriolefall/settings/tree_object.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <vector>

namespace oriolefall::settings {

namespace {

bool is_part_character(unsigned char c)
{
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

/// One name between two slashes; "." and ".." would mean another path.
bool is_part(std::string_view part)
{
    return !part.empty() && part != "." && part != ".." &&
           std::ranges::all_of(part, is_part_character);
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find('/', begin);
        parts.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
            return parts;
        begin = end + 1;
    }
}

} // namespace

std::optional<core::team_name> team_of(std::string_view path)
{
    constexpr std::size_t fewest_parts = 2;
    if (!path.starts_with(tree_root))
        return std::nullopt;
    const auto parts = split(path.substr(tree_root.size()));
    if (parts.size() < fewest_parts || !std::ranges::all_of(parts, is_part))
        return std::nullopt;
    return core::team_name(std::string(parts.front()));
}

bool is_move_path(std::string_view path)
{
    constexpr std::size_t parts_of_move = 3;
    if (!team_of(path))
        return false;
    const auto parts = split(path.substr(tree_root.size()));
    return parts.size() == parts_of_move && parts[1] == "moves";
}

} // namespace oriolefall::settings
