#include "oriolefall/json_text/value_slices.hpp"

#include <algorithm>

namespace oriolefall::json_text {

namespace {

constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    const auto begin =
        std::min(text.find_first_not_of(whitespace), text.size());
    text.remove_prefix(begin);
    const auto last = text.find_last_not_of(whitespace);
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

/// Parts of what stands between the brackets of an array or object, cut at its
/// commas; nullopt when there are no such brackets around `text`.
std::optional<std::vector<std::string_view>> parts(std::string_view text,
                                                   char opening, char closing)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != opening || text.back() != closing)
        return std::nullopt;
    const std::string_view inner = text.substr(1, text.size() - 2);
    std::vector<std::string_view> found;
    std::size_t begin = 0;
    std::size_t open = 0;
    for (auto at = detail::next_mark(inner, 0); at < inner.size();
         at = detail::next_mark(inner, at + 1)) {
        if (detail::is_opening(inner[at])) {
            ++open;
        } else if (detail::is_closing(inner[at])) {
            // The brackets at both ends of the text don't belong together.
            if (open-- == 0)
                return std::nullopt;
        } else if (open == 0) {
            found.push_back(trim(inner.substr(begin, at - begin)));
            begin = at + 1;
        }
    }
    const std::string_view last = trim(inner.substr(begin));
    if (!last.empty() || !found.empty())
        found.push_back(last);
    return found;
}

} // namespace

std::optional<std::vector<std::string_view>> elements(std::string_view text)
{
    return parts(text, '[', ']');
}

std::optional<std::string_view> member(std::string_view text,
                                       std::string_view key)
{
    const auto members = parts(text, '{', '}');
    if (!members)
        return std::nullopt;
    for (const std::string_view each : *members) {
        if (!each.starts_with('"'))
            continue;
        const std::size_t key_end = detail::string_end(each, 0);
        const std::string_view after = trim(each.substr(key_end));
        if (key_end == key.size() + 2 && each.substr(1, key.size()) == key &&
            after.starts_with(':'))
            return trim(after.substr(1));
    }
    return std::nullopt;
}

std::optional<std::vector<std::string_view>>
member_elements(std::string_view text, std::string_view key)
{
    const auto array = member(text, key);
    return array ? elements(*array) : std::nullopt;
}

std::size_t detail::next_mark(std::string_view text, std::size_t begin)
{
    for (std::size_t at = begin; at < text.size();) {
        const char next = text[at];
        if (is_opening(next) || is_closing(next) || next == ',')
            return at;
        at = next == '"' ? string_end(text, at) : at + 1;
    }
    return text.size();
}

std::size_t detail::string_end(std::string_view text, std::size_t begin)
{
    for (std::size_t at = begin + 1; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return text.size();
}

} // namespace oriolefall::json_text
