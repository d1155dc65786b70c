#include "oriolefall/front/request_head.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <array>

namespace oriolefall::front {

namespace {

constexpr std::string_view empty_line = "\r\n";

/// Returns the first line of `text`, including its line end.
std::string_view first_line(std::string_view text)
{
    const std::size_t end = text.find('\n');
    return end == std::string_view::npos ? text : text.substr(0, end + 1);
}

bool is_unbounded_header(std::string_view line)
{
    constexpr std::array<std::string_view, 2> names{"range",
                                                    "content-encoding"};
    const std::string_view name = line.substr(0, line.find(':'));
    const absl::string_view trimmed =
        absl::StripAsciiWhitespace(absl::string_view(name.data(), name.size()));
    return std::ranges::any_of(names, [&](std::string_view each) {
        return absl::EqualsIgnoreCase(
            trimmed, absl::string_view(each.data(), each.size()));
    });
}

} // namespace

std::size_t head_length(std::string_view bytes)
{
    constexpr std::string_view end = "\n\r\n";
    const std::size_t found = bytes.find(end);
    return found == std::string_view::npos ? found : found + end.size();
}

std::string remove_unbounded_headers(std::string_view head)
{
    std::string kept(first_line(head));
    head.remove_prefix(kept.size());
    while (!head.empty()) {
        const std::string_view line = first_line(head);
        if (line == empty_line || !is_unbounded_header(line))
            kept += line;
        head.remove_prefix(line.size());
    }
    return kept;
}

} // namespace oriolefall::front
