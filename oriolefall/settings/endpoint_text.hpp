#ifndef ORIOLEFALL_SETTINGS_ENDPOINT_TEXT_HPP
#define ORIOLEFALL_SETTINGS_ENDPOINT_TEXT_HPP

#include "oriolefall/core/backend_server.hpp"

#include <optional>
#include <string>

namespace oriolefall::settings {

/// Parses "127.0.0.1:8080" or "[::1]:8080"; nullopt for anything else. Host
/// names are refused: processes connect by IP address. Thread-safe.
[[nodiscard]] std::optional<core::endpoint>
parse_endpoint(const std::string& text);
/// The inverse of `parse_endpoint`.
[[nodiscard]] std::string format_endpoint(const core::endpoint& value);

} // namespace oriolefall::settings

#endif
