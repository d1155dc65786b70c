#include "oriolefall/objects/result.hpp"

#include <array>
#include <cassert>

namespace oriolefall::objects {

std::string_view to_string(failure value)
{
    constexpr std::array<std::string_view, failure_count> names{
        "connect_failed", "no_answer",  "outage",
        "rate_limited",   "bad_answer", "stopped"};
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

} // namespace oriolefall::objects
