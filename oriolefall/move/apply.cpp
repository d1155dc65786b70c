#include "oriolefall/move/apply.hpp"

#include <algorithm>

namespace oriolefall::move {

namespace {

constexpr std::uint32_t full_percent = 100;

bool is_leaving(const move_object& move, const core::backend_server& server)
{
    return std::ranges::find(move.leaving, server.id) != move.leaving.end();
}

bool is_arriving(const move_object& move, const core::backend_server& server)
{
    return std::ranges::find(move.arriving, server.id, &arriving_server::id) !=
           move.arriving.end();
}

/// Limits an arriving server to a percentage of its slots, rounded up and at
/// least one, so that it gets work at all. At 0 percent it gets none.
void limit_slots(core::backend_server& server, std::uint32_t percent)
{
    const std::uint32_t rounded_up =
        (server.slots * percent + full_percent - 1) / full_percent;
    server.leaving = server.leaving || percent == 0;
    server.slots = std::clamp(rounded_up, 1U, server.slots);
}

} // namespace

std::vector<core::backend_server>
apply_to_servers(const move_object& move,
                 std::vector<core::backend_server> servers)
{
    for (core::backend_server& server : servers) {
        if (is_leaving(move, server) && move.phase != phase::aborted)
            server.leaving = true;
        if (is_arriving(move, server))
            limit_slots(server, move.percent);
    }
    return servers;
}

std::vector<core::service_class>
apply_to_classes(const move_object& move,
                 std::vector<core::service_class> classes)
{
    if (is_ended(move))
        return classes;
    for (core::service_class& some : classes) {
        const auto level =
            std::ranges::find(move.classes, some.name, &class_level::name);
        if (level != move.classes.end())
            some.tier = level->tier;
    }
    return classes;
}

} // namespace oriolefall::move
