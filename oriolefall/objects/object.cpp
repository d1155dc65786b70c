#include "oriolefall/objects/object.hpp"

namespace oriolefall::objects {

std::optional<std::uint64_t> expected_version(const write_condition& condition)
{
    if (std::holds_alternative<if_absent>(condition))
        return 0;
    if (const auto* expected = std::get_if<if_version>(&condition))
        return expected->version;
    return std::nullopt;
}

} // namespace oriolefall::objects
