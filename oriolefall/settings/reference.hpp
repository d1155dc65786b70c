#ifndef ORIOLEFALL_SETTINGS_REFERENCE_HPP
#define ORIOLEFALL_SETTINGS_REFERENCE_HPP

#include "oriolefall/settings/setting.hpp"

#include <span>
#include <string>

namespace oriolefall::settings {

/// A Markdown table of settings, as docs/SETTINGS.md shows it. Any thread.
[[nodiscard]] std::string
print_reference(std::span<const setting_description> settings);

} // namespace oriolefall::settings

#endif
