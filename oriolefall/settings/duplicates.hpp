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

/// Reports every element of the list at `path` that has the name of an earlier
/// element. `name` is the member that holds the name and `key` its setting.
/// Empty names are skipped.
template <class Element, class Name>
void report_duplicates(const std::vector<Element>& list, Name name,
                       std::string_view path, std::string_view key,
                       std::vector<core::settings_error>& faults)
{
    std::map<std::string, std::size_t> first_index;
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string& text = std::invoke(name, list[i]).value();
        const auto [entry, is_new] = first_index.emplace(text, i);
        if (!is_new && !text.empty())
            faults.push_back({core::concat(path, "/", i, "/", key),
                              core::concat("\"", text, "\""),
                              core::concat("a name that ", path, "/",
                                           entry->second, " does not have")});
    }
}

} // namespace oriolefall::settings

#endif
