#include "oriolefall/router/server_reader.hpp"

#include <memory>
#include <utility>
#include <vector>

namespace oriolefall::router {

server_reader::server_reader(parse_hook parse) : parse_(std::move(parse)) {}

dispatch::servers_changed
server_reader::read(const follow::collection_view& view)
{
    if (std::exchange(epoch_, view.epoch) != view.epoch)
        parsed_objects_.clear();
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
    for (const auto& [name, object] : view.objects) {
        const auto lost = view.lost_changes.find(name);
        if (lost == view.lost_changes.end())
            add(object);
        else if (!lost->second.is_deleted && add(object) &&
                 was_draining(lost->second, entries.back()))
            entries.back().is_draining = true;
    }
    for (const auto& [name, object] : view.stale)
        if (add(object))
            change.stale.emplace_back(name);
    parsed_objects_ = std::move(next);
    change.servers =
        std::make_shared<const std::vector<dispatch::server_entry>>(
            std::move(entries));
    return change;
}

bool server_reader::was_draining(const follow::object_change& lost,
                                 const dispatch::server_entry& entry) const
{
    const auto before = parse_(lost.object);
    return before && before->is_draining &&
           before->started_at_ms == entry.started_at_ms;
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
