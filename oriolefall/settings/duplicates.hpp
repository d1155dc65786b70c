#ifndef ORIOLEFALL_SETTINGS_DUPLICATES_HPP
#define ORIOLEFALL_SETTINGS_DUPLICATES_HPP

#include "oriolefall/core/concat.hpp"
#include "oriolefall/core/settings_error.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::settings {

/// Notes every element of the list at `path` whose name, taken by `name`,
/// stands before it already. `key` is the setting that holds the name.
template <class Element, class Name>
void refuse_duplicates(const std::vector<Element>& list, Name name,
                       std::string_view path, std::string_view key,
                       std::vector<core::settings_error>& faults)
{
    std::map<std::string, std::size_t> first;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string& text = std::invoke(name, list[i]).value();
        const auto [at, is_new] = first.emplace(text, i);
        if (!is_new && !text.empty())
            faults.push_back({core::concat(path, "/", i, "/", key),
                              core::concat("\"", text, "\""),
                              core::concat("a name that ", path, "/",
                                           at->second, " does not have")});
    }
}

} // namespace oriolefall::settings

#endif
