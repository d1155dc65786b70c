#ifndef ORIOLEFALL_NET_HEADER_FIELDS_HPP
#define ORIOLEFALL_NET_HEADER_FIELDS_HPP

#include "oriolefall/net/beast.hpp"

#include <string_view>

namespace oriolefall::net {

/// Convert between the string views of Boost and of the standard library.
[[nodiscard]] inline std::string_view to_std(boost::string_view text)
{
    return {text.data(), text.size()};
}

[[nodiscard]] inline boost::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Value of the first header field of this name; empty if there is none.
template <class Fields>
[[nodiscard]] std::string_view field_value(const Fields& fields,
                                           std::string_view name)
{
    return to_std(fields[to_beast(name)]);
}

/// The path of a request target, without the query.
[[nodiscard]] inline std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace oriolefall::net

#endif
