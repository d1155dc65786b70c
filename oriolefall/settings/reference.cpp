#include "oriolefall/settings/reference.hpp"

#include "oriolefall/core/concat.hpp"

namespace oriolefall::settings {

std::string print_reference(std::span<const setting_description> settings)
{
    std::string text = "| setting | type | allowed | default | meaning |\n"
                       "|---|---|---|---|---|\n";
    for (const setting_description& some : settings)
        text += core::concat("| `", some.path, "` | ", some.type, " | ",
                             some.allowed, " | ", some.fallback, " | ",
                             some.purpose, " |\n");
    return text;
}

} // namespace oriolefall::settings
