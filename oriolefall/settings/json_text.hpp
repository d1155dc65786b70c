#ifndef ORIOLEFALL_SETTINGS_JSON_TEXT_HPP
#define ORIOLEFALL_SETTINGS_JSON_TEXT_HPP

#include "oriolefall/core/settings_error.hpp"

#include <nlohmann/json.hpp>

#include <string_view>
#include <variant>
#include <vector>

namespace oriolefall::settings {

/// Validation errors of a settings document; also called faults.
using errors = std::vector<core::settings_error>;

/// Parses JSON with comments. A key that is repeated in one object is an
/// error: the JSON library would silently take the last one. Thread-safe.
[[nodiscard]] std::variant<nlohmann::json, errors>
parse_json(std::string_view text);

} // namespace oriolefall::settings

#endif
