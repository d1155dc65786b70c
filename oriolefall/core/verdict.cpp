#include "oriolefall/core/verdict.hpp"

#include <array>

namespace oriolefall::core {

verdict refusal_verdict(reason cause, bool has_key)
{
    if (has_key)
        return may_have_run{cause};
    return not_run{cause};
}

std::string_view to_string(const verdict& value)
{
    constexpr std::array<std::string_view, std::variant_size_v<verdict>> names{
        "not_run", "ran", "may_have_run"};
    return names[value.index()];
}

} // namespace oriolefall::core
