#include "oriolefall/objects/settings_store.hpp"
#include "programs/oriolefall/commands.hpp"
#include "programs/oriolefall/platform_access.hpp"
#include "programs/oriolefall/settings_file.hpp"
#include "programs/oriolefall/subcommands.hpp"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace oriolefall::programs {

namespace {

namespace po = boost::program_options;

/// How long one call for changes waits at the platform.
constexpr absl::Duration watch_limit = absl::Seconds(30);

int print_object(const settings::tree_object& object)
{
    const nlohmann::json line{{"path", object.path},
                              {"version", object.version},
                              {"value", nlohmann::json::parse(object.value)}};
    std::cout << line.dump() << '\n';
    return exit_done;
}

int run_get(const po::variables_map& values, const platform_access& access)
{
    const auto client = make_client(access);
    objects::settings_store store(client->as_object_store(), {});
    const auto& path = values["path"].as<std::string>();
    const auto result = store.get(path);
    if (const auto* object = std::get_if<settings::tree_object>(&result))
        return print_object(*object);
    if (const auto* failed = std::get_if<objects::unavailable>(&result))
        return report_unavailable("settings get", *failed);
    return report_failure("settings get", path + ": there is no such object");
}

int run_list(const po::variables_map&, const platform_access& access)
{
    const auto client = make_client(access);
    objects::settings_store store(client->as_object_store(), {});
    const auto result = store.list();
    if (const auto* failed = std::get_if<objects::unavailable>(&result))
        return report_unavailable("settings list", *failed);
    std::ranges::for_each(std::get<std::vector<settings::tree_object>>(result),
                          print_object);
    return exit_done;
}

/// One line for each thing that is wrong with a refused change.
int report_refused(const settings::change_refused& refused,
                   const settings::change& wanted, const std::string& file)
{
    std::ranges::for_each(
        refused.faults, [&](const settings::tree_fault& fault) {
            const bool own = fault.object_path == wanted.path;
            print_faults(std::cout, own ? file : fault.object_path,
                         {fault.error});
        });
    const std::string reason(settings::to_string(refused.reason));
    if (refused.reason == settings::change_refusal::conflict)
        return report_failure("settings put",
                              reason + ": " + wanted.path + " has version " +
                                  std::to_string(refused.version));
    report_failure("settings put", "not accepted: " + reason);
    return refused.reason == settings::change_refusal::invalid ? exit_bad_input
                                                               : exit_failed;
}

int run_put(const po::variables_map& values, const platform_access& access)
{
    settings::change wanted;
    wanted.path = values["path"].as<std::string>();
    const auto team = settings::team_of(wanted.path);
    if (!team)
        return report_bad_input("settings put",
                                wanted.path + " is not /teams/TEAM/NAME");
    const auto& file = values["file"].as<std::string>();
    const auto text = core::read_file(file);
    if (!text)
        return report_bad_input("settings put", file + ": cannot be read");
    wanted.team = *team;
    wanted.key = acting_as(*team).key;
    wanted.text = *text;
    if (values.contains("expect"))
        wanted.expected_version = values["expect"].as<std::uint64_t>();
    const auto client = make_client(access);
    objects::settings_store store(client->as_object_store(), access.team_keys);
    const auto result = store.put(wanted);
    if (const auto* refused = std::get_if<settings::change_refused>(&result))
        return report_refused(*refused, wanted, file);
    const auto& accepted = std::get<objects::change_accepted>(result);
    std::cout << nlohmann::json{{"path", wanted.path},
                                {"version", accepted.version}}
                     .dump()
              << '\n';
    return exit_done;
}

void print_change(const objects::object_change& change)
{
    const nlohmann::json value =
        change.object ? nlohmann::json::parse(change.object->value)
                      : nlohmann::json(nullptr);
    std::cout << nlohmann::json{{"path", change.path},
                                {"version", change.version},
                                {"value", value}}
                     .dump()
              << std::endl;
}

int run_watch(const po::variables_map& values, const platform_access& access)
{
    const auto client = make_client(access);
    objects::settings_store store(client->as_object_store(), {});
    auto from = values["from"].as<std::uint64_t>();
    auto left = values["changes"].as<std::uint64_t>();
    while (left > 0) {
        const auto result = store.watch(from, watch_limit);
        if (std::holds_alternative<objects::watch_timed_out>(result))
            continue;
        if (const auto* failed = std::get_if<objects::unavailable>(&result))
            return report_unavailable("settings watch", *failed);
        if (std::holds_alternative<objects::history_gone>(result))
            return report_failure("settings watch", "changes after revision " +
                                                        std::to_string(from) +
                                                        " are no longer known");
        const auto& seen = std::get<objects::object_changes>(result);
        from = seen.revision;
        const auto shown = std::min<std::size_t>(seen.changes.size(), left);
        std::for_each_n(seen.changes.begin(), shown, print_change);
        left -= shown;
    }
    return exit_done;
}

std::vector<subcommand> settings_subcommands()
{
    subcommand get{
        "get", "PATH", "Prints one object as JSON.", {"path"}, run_get};
    subcommand put{
        "put",
        "PATH FILE",
        "Replaces one object of a team's subtree by the text of a "
        "file, JSON with\ncomments, once it has been checked against "
        "all other settings. Needs\n--instance; the team's key is "
        "taken from the variable ORIOLEFALL_TEAM_KEY.",
        {"path", "file"},
        run_put};
    put.options.add_options()(
        "expect", po::value<std::uint64_t>(),
        "version that the object must have, 0 for none; else the one that it "
        "has now");
    subcommand list{
        "list", "", "Prints every team's objects, one a line.", {}, run_list};
    subcommand watch{
        "watch", "", "Prints each change as it comes.", {}, run_watch};
    watch.options.add_options()("from",
                                po::value<std::uint64_t>()->default_value(0),
                                "revision after which changes are shown")(
        "changes",
        po::value<std::uint64_t>()->default_value(
            std::numeric_limits<std::uint64_t>::max(), "all"),
        "end after so many");
    return {get, put, list, watch};
}

} // namespace

command settings_command()
{
    return {"settings", "read and change the teams' settings",
            [](const std::vector<std::string>& arguments) {
                return run_subcommand("settings", settings_subcommands(),
                                      arguments);
            }};
}

} // namespace oriolefall::programs
