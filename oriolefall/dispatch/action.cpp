#include "oriolefall/dispatch/action.hpp"

#include <array>
#include <cstddef>

namespace oriolefall::dispatch {

std::string_view to_string(refusal value)
{
    static constexpr std::array<std::string_view, 9> names{
        "no_settings",     "unknown_route",   "unknown_key",
        "no_server",       "overloaded",      "time_over",
        "outcome_unknown", "servers_limited", "quarantined_prompt"};
    return names[static_cast<std::size_t>(value)];
}

} // namespace oriolefall::dispatch
