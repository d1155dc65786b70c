#ifndef ORIOLEFALL_FOLLOW_RELAY_ROLE_HPP
#define ORIOLEFALL_FOLLOW_RELAY_ROLE_HPP

#include <cstdint>
#include <string_view>

namespace oriolefall::follow {

/// How an instance learns of changes in the store.
enum class relay_role : std::uint8_t
{
    independent, ///< watches the store for itself; the fleet is small
    watcher,     ///< watches the store and answers the queries of others
    follower     ///< queries watchers; watches only if none confirms its view
};

/// The name used in logs.
[[nodiscard]] std::string_view to_string(relay_role value);

} // namespace oriolefall::follow

#endif
