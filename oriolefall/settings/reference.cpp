#include "oriolefall/settings/reference.hpp"

#include "oriolefall/core/concat.hpp"

namespace oriolefall::settings {

std::string format_reference(std::span<const setting_description> settings)
{
    std::string text = "| setting | type | allowed | default | meaning |\n"
                       "|---|---|---|---|---|\n";
    for (const setting_description& setting : settings)
        text += core::concat("| `", setting.path, "` | ", setting.type, " | ",
                             setting.allowed, " | ", setting.default_value,
                             " | ", setting.purpose, " |\n");
    return text;
}

} // namespace oriolefall::settings
