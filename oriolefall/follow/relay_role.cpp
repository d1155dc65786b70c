#include "oriolefall/follow/relay_role.hpp"

namespace oriolefall::follow {

std::string_view to_string(relay_role value)
{
    switch (value) {
    case relay_role::independent:
        return "independent";
    case relay_role::watcher:
        return "watcher";
    case relay_role::follower:
        return "follower";
    }
    return "unknown";
}

} // namespace oriolefall::follow
