#include "oriolefall/objects/settings_store.hpp"
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

/// How long one watch call waits at the platform for a change.
constexpr absl::Duration watch_timeout = absl::Seconds(30);

int print_object(const settings::tree_object& object)
{
    const nlohmann::json line{{"path", object.path},
                              {"version", object.version},
                              {"value", nlohmann::json::parse(object.value)}};
    std::cout << line.dump() << '\n';
    return exit_success;
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
    return exit_success;
}

/// Prints one line for each fault of a refused change, then the reason of the
/// refusal; returns the exit status.
int report_refusal(const settings::change_refused& refused,
                   const settings::change& change, const std::string& file)
{
    std::ranges::for_each(
        refused.faults, [&](const settings::tree_fault& fault) {
            const bool is_own_object = fault.object_path == change.path;
            print_faults(std::cout, is_own_object ? file : fault.object_path,
                         {fault.error});
        });
    const std::string reason(settings::to_string(refused.reason));
    if (refused.reason == settings::change_refusal::conflict)
        return report_failure("settings put",
                              reason + ": " + change.path + " has version " +
                                  std::to_string(refused.version));
    report_failure("settings put", "not accepted: " + reason);
    return refused.reason == settings::change_refusal::invalid ? exit_bad_input
                                                               : exit_failure;
}

int run_put(const po::variables_map& values, const platform_access& access)
{
    settings::change change;
    change.path = values["path"].as<std::string>();
    const auto team = settings::team_of(change.path);
    if (!team)
        return report_bad_input("settings put",
                                change.path + " is not /teams/TEAM/NAME");
    const auto& file = values["file"].as<std::string>();
    const auto text = core::read_file(file);
    if (!text)
        return report_bad_input("settings put", file + ": cannot be read");
    change.team = *team;
    change.key = team_key_from_environment(*team).key;
    change.text = *text;
    if (values.contains("expect"))
        change.expected_version = values["expect"].as<std::uint64_t>();
    const auto client = make_client(access);
    objects::settings_store store(client->as_object_store(), access.team_keys);
    const auto result = store.put(change);
    if (const auto* refused = std::get_if<settings::change_refused>(&result))
        return report_refusal(*refused, change, file);
    const auto& accepted = std::get<objects::change_accepted>(result);
    std::cout << nlohmann::json{{"path", change.path},
                                {"version", accepted.version}}
                     .dump()
              << '\n';
    return exit_success;
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
    auto revision = values["from"].as<std::uint64_t>();
    auto remaining = values["changes"].as<std::uint64_t>();
    while (remaining > 0) {
        const auto result = store.watch(revision, watch_timeout);
        if (std::holds_alternative<objects::watch_timed_out>(result))
            continue;
        if (const auto* failed = std::get_if<objects::unavailable>(&result))
            return report_unavailable("settings watch", *failed);
        if (std::holds_alternative<objects::history_gone>(result))
            return report_failure("settings watch",
                                  "changes after revision " +
                                      std::to_string(revision) +
                                      " are no longer known");
        const auto& received = std::get<objects::object_changes>(result);
        revision = received.revision;
        const auto printed_count =
            std::min<std::size_t>(received.changes.size(), remaining);
        std::for_each_n(received.changes.begin(), printed_count, print_change);
        remaining -= printed_count;
    }
    return exit_success;
}

std::vector<command_action> settings_actions()
{
    command_action get{
        "get", "PATH", "Prints one object as JSON.", {"path"}, run_get};
    command_action put{
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
    command_action list{
        "list", "", "Prints every team's objects, one a line.", {}, run_list};
    command_action watch{
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
                return run_command_action("settings", settings_actions(),
                                          arguments);
            }};
}

} // namespace oriolefall::programs
