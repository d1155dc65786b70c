#ifndef ORIOLEFALL_SETTINGS_SETTING_HPP
#define ORIOLEFALL_SETTINGS_SETTING_HPP

#include <compare>
#include <string>
#include <string_view>

namespace oriolefall::settings {

/// The key of a setting inside its JSON object and its description.
struct setting_spec
{
    std::string_view name;
    std::string_view purpose;
    /// Whether a document without the setting is refused.
    bool is_required = false;
};

/// The values that a setting may have; both ends are included.
template <class T>
struct range
{
    T low;
    T high;
};

/// One row of the settings reference.
struct setting_description
{
    /// Path with `*` for an index into a list, such as "/classes/*/tier".
    std::string path;
    /// Type and unit, such as "duration".
    std::string type;
    /// Accepted values.
    std::string allowed;
    /// Value of an omitted setting; "required" or "none" without a default.
    std::string default_value;
    std::string purpose;
    auto operator<=>(const setting_description&) const = default;
};

} // namespace oriolefall::settings

#endif
