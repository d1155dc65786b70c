#ifndef ORIOLEFALL_SETTINGS_REFERENCE_HPP
#define ORIOLEFALL_SETTINGS_REFERENCE_HPP

#include "oriolefall/settings/setting.hpp"

#include <span>
#include <string>

namespace oriolefall::settings {

/// Formats settings as the Markdown table in docs/SETTINGS.md. Thread-safe.
[[nodiscard]] std::string
format_reference(std::span<const setting_description> settings);

} // namespace oriolefall::settings

#endif
