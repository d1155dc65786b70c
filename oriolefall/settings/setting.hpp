#ifndef ORIOLEFALL_SETTINGS_SETTING_HPP
#define ORIOLEFALL_SETTINGS_SETTING_HPP

#include <compare>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// The name of one setting inside its object, and what it is for.
struct setting
{
    std::string_view name;
    std::string_view purpose;
    /// True: a text without it is refused.
    bool required = false;
};

/// Values that a setting may have, both ends included.
template <class T>
struct range
{
    T low;
    T high;
};

/// A setting as the reference page shows it.
struct setting_description
{
    /// Path with `*` for the place in a list, such as "/classes/*/tier".
    std::string path;
    /// Type and unit, such as "duration".
    std::string type;
    /// Values that are taken.
    std::string allowed;
    /// Value when it is left out; "required" or "none" where there is none.
    std::string fallback;
    std::string purpose;
    auto operator<=>(const setting_description&) const = default;
};

} // namespace oriolefall::settings

#endif
