#include "oriolefall/router/server_reader.hpp"

#include <memory>
#include <utility>
#include <vector>

namespace oriolefall::router {

server_reader::server_reader(parse_hook parse) : parse_(std::move(parse)) {}

dispatch::servers_changed
server_reader::read(const follow::collection_view& view)
{
    std::vector<dispatch::server_entry> entries;
    dispatch::servers_changed change;
    parsed_map next;
    const auto add = [&](const follow::stored_object& object) {
        parsed_object parsed = parse(object);
        const bool is_server = parsed.entry.has_value();
        if (is_server)
            entries.push_back(*parsed.entry);
        next.insert_or_assign(object.name, std::move(parsed));
        return is_server;
    };
    for (const auto& [name, object] : view.objects)
        add(object);
    for (const auto& [name, object] : view.doubtful)
        if (add(object))
            change.stale.emplace_back(name);
    parsed_objects_ = std::move(next);
    change.servers =
        std::make_shared<const std::vector<dispatch::server_entry>>(
            std::move(entries));
    return change;
}

server_reader::parsed_object
server_reader::parse(const follow::stored_object& object)
{
    const auto cached = parsed_objects_.find(object.name);
    if (cached != parsed_objects_.end() &&
        cached->second.revision == object.revision)
        return std::move(cached->second);
    return {object.revision, parse_(object)};
}

} // namespace oriolefall::router
