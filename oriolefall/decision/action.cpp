#include "oriolefall/decision/action.hpp"

#include <array>
#include <cassert>
#include <cstddef>

namespace oriolefall::decision {

std::string_view to_string(step_kind kind)
{
    constexpr std::array<std::string_view, 8> names{
        "queued",  "placed", "retried", "resumed",
        "ejected", "probed", "refused", "cancelled"};
    const auto index = static_cast<std::size_t>(kind);
    assert(index < names.size());
    return names[index];
}

bool has_cause(step_kind kind)
{
    return kind != step_kind::queued && kind != step_kind::placed;
}

} // namespace oriolefall::decision
