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

/// Reads backend servers from what the store holds. An object is parsed once
/// for each revision, as one of thousands changes at a time. One thread.
class server_reader
{
public:
    /// Nothing for an object that names no server to use.
    using parse_hook = std::function<std::optional<dispatch::server_entry>(
        const follow::stored_object&)>;

    explicit server_reader(parse_hook parse);

    [[nodiscard]] dispatch::servers_changed
    read(const follow::collection_view& view);

private:
    struct parsed
    {
        std::uint64_t revision = 0;
        std::optional<dispatch::server_entry> entry;
    };
    using parsed_map = std::map<std::string, parsed>;

    /// Takes it over from what was parsed before where it can.
    [[nodiscard]] parsed parse(const follow::stored_object& object);

    parse_hook parse_;
    parsed_map known_;
};

} // namespace oriolefall::router

#endif
