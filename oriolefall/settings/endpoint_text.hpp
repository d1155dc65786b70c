#ifndef ORIOLEFALL_SETTINGS_ENDPOINT_TEXT_HPP
#define ORIOLEFALL_SETTINGS_ENDPOINT_TEXT_HPP

#include "oriolefall/core/backend_server.hpp"

#include <optional>
#include <string>

namespace oriolefall::settings {

/// "127.0.0.1:8080" or "[::1]:8080"; nothing when it is not that. Names are
/// refused: processes reach each other by IP number. Any thread.
[[nodiscard]] std::optional<core::endpoint>
parse_endpoint(const std::string& text);
/// The inverse of `parse_endpoint`.
[[nodiscard]] std::string print_endpoint(const core::endpoint& value);

} // namespace oriolefall::settings

#endif
