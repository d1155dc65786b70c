#ifndef ORIOLEFALL_CORE_SETTINGS_ERROR_HPP
#define ORIOLEFALL_CORE_SETTINGS_ERROR_HPP

#include <compare>
#include <string>

namespace oriolefall::core {

/// One error found in settings, with the value found and what is allowed.
struct settings_error
{
    /// Path of the setting, such as "/classes/0/tier".
    std::string path;
    std::string found;
    std::string allowed;
    auto operator<=>(const settings_error&) const = default;
};

} // namespace oriolefall::core

#endif
