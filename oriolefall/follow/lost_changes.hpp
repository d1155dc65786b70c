#ifndef ORIOLEFALL_FOLLOW_LOST_CHANGES_HPP
#define ORIOLEFALL_FOLLOW_LOST_CHANGES_HPP

#include "oriolefall/follow/stored_object.hpp"

#include <map>
#include <string>
#include <vector>

namespace oriolefall::follow {

/// Compares what was known of a collection with the list of a store that was
/// restored from a copy. Returns, by name, what was known of listed objects and
/// is not in the list: other values and deletions.
[[nodiscard]] std::map<std::string, object_change>
find_lost_changes(const std::map<std::string, stored_object>& known,
                  const std::vector<object_change>& deletions,
                  const std::map<std::string, stored_object>& listed);

} // namespace oriolefall::follow

#endif
