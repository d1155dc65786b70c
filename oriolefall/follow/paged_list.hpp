#ifndef ORIOLEFALL_FOLLOW_PAGED_LIST_HPP
#define ORIOLEFALL_FOLLOW_PAGED_LIST_HPP

#include "oriolefall/follow/stored_object.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace oriolefall::follow {

/// What a page brings a list.
enum class list_progress : std::uint8_t
{
    /// More pages follow.
    more,
    complete,
    /// More pages follow, but this one has no object that is not on a page
    /// before it, or there are more objects than any collection has: the list
    /// would never end.
    stalled
};

/// Cause of a stalled list, for the log.
inline constexpr const char* stalled_list_cause = "list that makes no progress";

/// Objects of a list after which no more pages are asked for.
inline constexpr std::size_t max_listed_objects = std::size_t{64} * 1024;

/// The objects of a collection that is listed page by page. Not thread-safe.
class paged_list
{
public:
    /// Adds the next page.
    [[nodiscard]] list_progress add(const list_page& page);
    /// Forgets all pages.
    void restart();
    /// Name after which the next page begins; empty for the first page.
    [[nodiscard]] const std::string& cursor() const;
    [[nodiscard]] const std::map<std::string, stored_object>& objects() const;

private:
    std::map<std::string, stored_object> objects_;
    std::string cursor_;
};

} // namespace oriolefall::follow

#endif
