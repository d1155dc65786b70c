#include "oriolefall/objects/move_json.hpp"
#include "oriolefall/objects/move_store.hpp"
#include "programs/oriolefall/command_action.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/platform_access.hpp"
#include "programs/oriolefall/settings_file.hpp"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;
using objects::move_store;

core::team_name team_of(const po::variables_map& values)
{
    return core::team_name(values["team"].as<std::string>());
}

int print_version(const std::string& name, std::uint64_t version)
{
    std::cout << nlohmann::json{{"move", name}, {"version", version}}.dump()
              << '\n';
    return exit_success;
}

int report_move_ended(const std::string& action,
                      const objects::move_ended& ended)
{
    return report_failure(action, "the move has ended: " +
                                      std::string(to_string(ended.phase)));
}

/// Prints the result of a write of the move `name` and returns the exit status.
/// Faults of a new move are printed under the name `file`.
int report_write_result(const std::string& action, const std::string& name,
                        const std::string& file,
                        const objects::move_write_result& result)
{
    if (const auto* done = std::get_if<objects::written>(&result))
        return print_version(name, done->version);
    if (const auto* invalid = std::get_if<objects::invalid_move>(&result)) {
        print_faults(std::cout, file, invalid->faults);
        return exit_bad_input;
    }
    if (const auto* ended = std::get_if<objects::move_ended>(&result))
        return report_move_ended(action, *ended);
    if (const auto* refused = std::get_if<objects::move_write_refused>(&result))
        return report_failure(
            action, "not accepted: " + std::string(to_string(refused->reason)));
    if (const auto* failed = std::get_if<objects::unavailable>(&result))
        return report_unavailable(action, *failed);
    if (std::holds_alternative<objects::not_found>(result))
        return report_failure(action, name + ": there is no such move");
    if (std::holds_alternative<objects::conflict>(result))
        return report_failure(action,
                              "conflict: the move exists, or was changed at "
                              "the same moment");
    return report_failure(action,
                          "the change may have been made: read it back");
}

int run_create(const po::variables_map& values, const platform_access& access)
{
    const auto& file = values["file"].as<std::string>();
    const auto text = core::read_file(file);
    if (!text)
        return report_bad_input("move create", file + ": cannot be read");
    const auto client = make_client(access);
    move_store moves(client->as_object_store(), access.team_keys);
    return report_write_result(
        "move create", file, file,
        moves.create(team_key_from_environment(team_of(values)), *text));
}

int run_show(const po::variables_map& values, const platform_access& access)
{
    const auto& name = values["name"].as<std::string>();
    const auto client = make_client(access);
    move_store moves(client->as_object_store(), access.team_keys);
    const auto result = moves.show(team_of(values), core::move_name(name));
    if (const auto* found = std::get_if<objects::stored_move>(&result)) {
        std::cout << objects::print_move(found->object) << '\n';
        return exit_success;
    }
    if (const auto* failed = std::get_if<objects::unavailable>(&result))
        return report_unavailable("move show", *failed);
    if (const auto* invalid = std::get_if<objects::invalid_move>(&result)) {
        print_faults(std::cout, name, invalid->faults);
        return exit_failure;
    }
    return report_failure("move show", name + ": there is no such move");
}

int run_list(const po::variables_map&, const platform_access& access)
{
    const auto client = make_client(access);
    move_store moves(client->as_object_store(), access.team_keys);
    const auto result = moves.list();
    if (const auto* failed = std::get_if<objects::unavailable>(&result))
        return report_unavailable("move list", *failed);
    const auto& all = std::get<std::vector<objects::stored_move>>(result);
    std::ranges::for_each(all, [](const objects::stored_move& each) {
        const move::move_object& object = each.object;
        std::cout << nlohmann::json{{"team", object.team.value()},
                                    {"move", object.name.value()},
                                    {"version", each.version},
                                    {"phase", to_string(object.phase)},
                                    {"percent", object.percent},
                                    {"paused", object.paused}}
                         .dump()
                  << '\n';
    });
    return exit_success;
}

const std::string team_key_help =
    "\nNeeds --instance; the team's key is taken from the variable\n"
    "ORIOLEFALL_TEAM_KEY.";

/// Adds the option for the team whose subtree holds the move.
command_action with_team_option(command_action action)
{
    action.usage += " --team TEAM";
    action.options.add_options()("team", po::value<std::string>()->required(),
                                 "team whose move it is");
    return action;
}

/// The action that sets the requested state of a move, which the holder of the
/// move then applies.
command_action requested_state_action(const std::string& name,
                                      const std::string& description,
                                      move::requested_state requested)
{
    const auto run = [name, requested](const po::variables_map& values,
                                       const platform_access& access) {
        const auto& move_name = values["name"].as<std::string>();
        const auto client = make_client(access);
        move_store moves(client->as_object_store(), access.team_keys);
        return report_write_result(
            "move " + name, move_name, move_name,
            moves.set_requested_state(
                team_key_from_environment(team_of(values)),
                core::move_name(move_name), requested));
    };
    return with_team_option(
        {name, "NAME", description + team_key_help, {"name"}, run});
}

std::vector<command_action> move_actions()
{
    const command_action create{
        "create",
        "FILE",
        "Accepts a move that a file describes, JSON with comments. From here "
        "on its\nleaving backend servers get no new work." +
            team_key_help,
        {"file"},
        run_create};
    const command_action show{
        "show", "NAME", "Prints a move and its steps.", {"name"}, run_show};
    const command_action list{
        "list", "", "Prints each move on a line.", {}, run_list};
    return {with_team_option(create),
            with_team_option(show),
            list,
            requested_state_action("pause", "Takes no further step of a move.",
                                   move::requested_state::pause),
            requested_state_action("resume",
                                   "Goes on with a move that was paused.",
                                   move::requested_state::run),
            requested_state_action(
                "abort",
                "Gives work back to the leaving backend servers and "
                "none to the arriving ones.",
                move::requested_state::abort)};
}

} // namespace

command move_command()
{
    return {"move", "create and steer moves between backend servers",
            [](const std::vector<std::string>& arguments) {
                return run_command_action("move", move_actions(), arguments);
            }};
}

} // namespace oriolefall::programs
