#ifndef ORIOLEFALL_TESTS_ADAPTER_SOAK_REQUEST_TARGET_HPP
#define ORIOLEFALL_TESTS_ADAPTER_SOAK_REQUEST_TARGET_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::soak {

/// A request target, decoded.
struct request_target
{
    std::vector<std::string> segments;
    std::map<std::string, std::string> parameters;

    /// Value of a query parameter; empty when it is missing.
    [[nodiscard]] std::string parameter(const std::string& name) const;
    auto operator<=>(const request_target&) const = default;
};

/// Parses a target strictly: nullopt for a character that has to be escaped,
/// and for a `%` without two hexadecimal digits (RFC 3986). `+` in the query is
/// a blank.
[[nodiscard]] std::optional<request_target>
parse_request_target(std::string_view text);

} // namespace oriolefall::soak

#endif
