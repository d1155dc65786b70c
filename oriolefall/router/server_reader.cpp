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
        parsed made = parse(object);
        const bool is_server = made.entry.has_value();
        if (is_server)
            entries.push_back(*made.entry);
        next.insert_or_assign(object.name, std::move(made));
        return is_server;
    };
    for (const auto& [name, object] : view.objects)
        add(object);
    for (const auto& [name, object] : view.stale)
        if (add(object))
            change.stale.emplace_back(name);
    known_ = std::move(next);
    change.servers =
        std::make_shared<const std::vector<dispatch::server_entry>>(
            std::move(entries));
    return change;
}

server_reader::parsed server_reader::parse(const follow::stored_object& object)
{
    const auto held = known_.find(object.name);
    if (held != known_.end() && held->second.revision == object.revision)
        return std::move(held->second);
    return {object.revision, parse_(object)};
}

} // namespace oriolefall::router
