#ifndef ORIOLEFALL_ROUTER_SERVER_READER_HPP
#define ORIOLEFALL_ROUTER_SERVER_READER_HPP

#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/follow/collection_follower.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace oriolefall::router {

/// Converts store objects to backend servers. Parses an object only when its
/// revision changes, as a change usually concerns one of thousands of objects.
/// A store that was restored from a copy undoes no server's leaving: one that
/// was removed is left out, one that was draining still is, until the lost
/// change is made again or expires. Not thread-safe.
class server_reader
{
public:
    /// Returns nothing for an object that does not describe a usable server.
    using parse_hook = std::function<std::optional<dispatch::server_entry>(
        const follow::stored_object&)>;

    explicit server_reader(parse_hook parse);

    [[nodiscard]] dispatch::servers_changed
    read(const follow::collection_view& view);

private:
    struct parsed_object
    {
        std::uint64_t revision = 0;
        std::optional<dispatch::server_entry> entry;
    };
    using parsed_map = std::map<std::string, parsed_object>;

    /// Reuses the previous result if the revision is the same. Moves it out of
    /// the cache.
    [[nodiscard]] parsed_object parse(const follow::stored_object& object);

    /// Whether this incarnation was draining before the store lost that change.
    [[nodiscard]] bool was_draining(const follow::object_change& lost,
                                    const dispatch::server_entry& entry) const;

    parse_hook parse_;
    /// Of the epoch of the last view.
    parsed_map parsed_objects_;
    std::uint64_t epoch_ = 0;
};

} // namespace oriolefall::router

#endif
