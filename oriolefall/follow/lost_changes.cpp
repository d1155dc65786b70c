#include "oriolefall/follow/lost_changes.hpp"

namespace oriolefall::follow {

std::map<std::string, object_change>
find_lost_changes(const std::map<std::string, stored_object>& known,
                  const std::vector<object_change>& deletions,
                  const std::map<std::string, stored_object>& listed)
{
    std::map<std::string, object_change> lost;
    for (const auto& [name, object] : listed) {
        const auto before = known.find(name);
        if (before != known.end() && before->second.value != object.value)
            lost.insert_or_assign(name, object_change{before->second, false});
    }
    for (const object_change& deletion : deletions) {
        const std::string& name = deletion.object.name;
        if (listed.contains(name) && !known.contains(name))
            lost.insert_or_assign(name, deletion);
    }
    return lost;
}

} // namespace oriolefall::follow
