#include "oriolefall/objects/settings_duty.hpp"

#include "oriolefall/move/apply.hpp"
#include "oriolefall/objects/move_json.hpp"
#include "oriolefall/objects/settings_store.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace oriolefall::objects {

namespace {

/// Parses the moves in the tree, in the order of their paths; adds the errors
/// of those with invalid text to `faults`.
std::vector<move::move_object>
parse_moves(const settings::replica& tree,
            std::vector<settings::tree_fault>& faults)
{
    std::vector<move::move_object> moves;
    for (const settings::tree_object& object : tree.objects()) {
        if (!settings::is_move_path(object.path))
            continue;
        auto parsed = parse_move(object.value);
        if (auto* value = std::get_if<move::move_object>(&parsed)) {
            moves.push_back(std::move(*value));
            continue;
        }
        for (auto& fault : std::get<std::vector<core::settings_error>>(parsed))
            faults.push_back({object.path, std::move(fault)});
    }
    return moves;
}

void apply_moves(const std::vector<move::move_object>& moves,
                 decision::routing_table& table)
{
    for (const move::move_object& move : moves) {
        table.servers = move::apply_to_servers(move, std::move(table.servers));
        table.classes = move::apply_to_classes(move, std::move(table.classes));
    }
}

} // namespace

settings_in_force make_settings_in_force(const settings::replica& tree)
{
    const auto objects = tree.objects();
    settings::assembled_deployment assembled = settings::assemble(objects);
    decision::routing_table table =
        settings::make_routing_table(assembled.deployment, tree.change_count());
    auto moves = parse_moves(tree, assembled.faults);
    apply_moves(moves, table);
    return {std::make_shared<const decision::routing_table>(std::move(table)),
            tree.digest(), tree.team_versions(), std::move(moves),
            std::move(assembled.faults)};
}

settings_duty::settings_duty(std::size_t capacity, settings_duty_hooks hooks)
    : hooks_(std::move(hooks)), events_(capacity),
      thread_("settings", [this] { run(); })
{
}

settings_duty::~settings_duty()
{
    events_.close();
    thread_.join();
}

bool settings_duty::post(settings_event event)
{
    return events_.push(std::move(event));
}

bool settings_duty::try_post(settings_event event)
{
    return events_.try_push(std::move(event));
}

void settings_duty::run()
{
    while (const auto event = events_.pop())
        std::visit([this](const auto& each) { on(each); }, *event);
}

void settings_duty::on(const store_update& event)
{
    std::visit([this](const auto& each) { on(each); }, event);
}

void settings_duty::on(const peer_versions& event)
{
    const auto wanted = replica_.outdated_teams(event.teams);
    if (!wanted.empty())
        hooks_.request_subtrees(event.from, wanted);
}

void settings_duty::on(const peer_subtree_request& event)
{
    const auto versions = replica_.team_versions();
    for (const settings::team_version& team : versions) {
        if (std::ranges::find(event.teams, team.team) != event.teams.end())
            hooks_.send_subtree(event.from, team,
                                replica_.objects_of(team.team));
    }
}

void settings_duty::on(const peer_objects& event)
{
    apply(event.objects);
}

void settings_duty::on(const object_list& list)
{
    std::vector<settings::tree_object> objects;
    std::ranges::transform(list.objects, std::back_inserter(objects),
                           to_tree_object);
    apply(objects);
}

void settings_duty::on(const object_changes& changes)
{
    std::vector<settings::tree_object> objects;
    for (const object_change& change : changes.changes) {
        if (change.object)
            objects.push_back(to_tree_object(*change.object));
    }
    apply(objects);
}

void settings_duty::on(const store_unreachable&)
{
    // The settings in force stay in force.
}

void settings_duty::apply(const std::vector<settings::tree_object>& objects)
{
    std::set<core::team_name> changed;
    for (const settings::tree_object& object : objects) {
        const auto team = settings::team_of(object.path);
        if (team && replica_.offer(object))
            changed.insert(*team);
    }
    if (changed.empty())
        return;
    publish();
    std::vector<settings::team_version> new_versions;
    std::ranges::copy_if(replica_.team_versions(),
                         std::back_inserter(new_versions),
                         [&](const settings::team_version& version) {
                             return changed.contains(version.team);
                         });
    hooks_.announce_versions(new_versions);
}

void settings_duty::publish()
{
    hooks_.publish(make_settings_in_force(replica_));
}

} // namespace oriolefall::objects
