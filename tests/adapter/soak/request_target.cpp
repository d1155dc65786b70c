#include "tests/adapter/soak/request_target.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace oriolefall::soak {

namespace {

constexpr std::size_t escape_digits = 2;

bool may_stand_unescaped(unsigned char character)
{
    constexpr std::string_view others = "-._~!$&'()*+,;=:@/?";
    return character < 0x80 &&
           (std::isalnum(character) != 0 ||
            others.find(static_cast<char>(character)) != std::string::npos);
}

bool is_escape(std::string_view digits)
{
    return digits.size() == escape_digits &&
           std::ranges::all_of(digits, [](unsigned char digit) {
               return std::isxdigit(digit) != 0;
           });
}

/// Decodes the escapes of a path segment.
std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char next = text[at];
        if (next != '%') {
            if (!may_stand_unescaped(static_cast<unsigned char>(next)))
                return std::nullopt;
            decoded += next;
            continue;
        }
        const std::string_view digits = text.substr(at + 1, escape_digits);
        if (!is_escape(digits))
            return std::nullopt;
        decoded += absl::HexStringToBytes({digits.data(), digits.size()});
        at += escape_digits;
    }
    return decoded;
}

std::optional<std::string> decode_in_query(const std::string& text)
{
    return decode(absl::StrReplaceAll(text, {{"+", "%20"}}));
}

} // namespace

std::string request_target::parameter(const std::string& name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::optional<request_target> parse_request_target(std::string_view text)
{
    request_target target;
    const auto mark = std::min(text.find('?'), text.size());
    const std::string path(text.substr(0, mark));
    const std::string query(text.substr(std::min(mark + 1, text.size())));
    const std::vector<std::string> segments = absl::StrSplit(path, '/');
    for (const std::string& each : segments) {
        auto segment = decode(each);
        if (!segment)
            return std::nullopt;
        target.segments.push_back(*std::move(segment));
    }
    const std::vector<std::string> parameters =
        absl::StrSplit(query, '&', absl::SkipEmpty());
    for (const std::string& each : parameters) {
        const std::pair<std::string, std::string> parts =
            absl::StrSplit(each, absl::MaxSplits('=', 1));
        auto name = decode_in_query(parts.first);
        auto value = decode_in_query(parts.second);
        if (!name || !value)
            return std::nullopt;
        target.parameters.emplace(*std::move(name), *std::move(value));
    }
    return target;
}

} // namespace oriolefall::soak
