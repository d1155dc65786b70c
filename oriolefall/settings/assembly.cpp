#include "oriolefall/settings/assembly.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/deployment_reader.hpp"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace oriolefall::settings {

namespace {

using json = nlohmann::json;

constexpr std::array<std::string_view, 5> list_names{
    "regions", "models", "classes", "workspaces", "backend_servers"};

/// Where one element of a joined list came from.
struct origin
{
    std::string object_path;
    std::size_t index = 0;
};

/// The objects' lists joined, with the origin of each element.
struct joined_lists
{
    json document = json::object();
    std::map<std::string, std::vector<origin>, std::less<>> origins;
    std::vector<tree_fault> faults;
};

void refuse(joined_lists& joined, const std::string& object_path,
            std::string path, std::string found, std::string allowed)
{
    joined.faults.push_back(
        {object_path, {std::move(path), std::move(found), std::move(allowed)}});
}

/// Makes a workspace of the subtree's team; false when it names another.
bool adopt(json& element, const core::team_name& team)
{
    if (!element.is_object())
        return true;
    const auto named = element.find("team");
    if (named != element.end() && *named != team.value())
        return false;
    element["team"] = team.value();
    return true;
}

void join_list(joined_lists& joined, const tree_object& object,
               const core::team_name& team, std::string_view name,
               const json& list)
{
    const std::string path = core::concat("/", name);
    if (!list.is_array())
        return refuse(joined, object.path, path, list.dump(),
                      "a list of objects");
    json& into = joined.document[std::string(name)];
    std::vector<origin>& origins = joined.origins[std::string(name)];
    for (std::size_t i = 0; i < list.size(); ++i) {
        json element = list[i];
        if (name == "workspaces" && !adopt(element, team)) {
            refuse(joined, object.path, core::concat(path, "/", i, "/team"),
                   element["team"].dump(),
                   core::concat("the team of the subtree, \"", team.value(),
                                "\""));
            continue;
        }
        into.push_back(std::move(element));
        origins.push_back({object.path, i});
    }
}

void join_object(joined_lists& joined, const tree_object& object)
{
    const auto team = team_of(object.path);
    if (!team)
        return refuse(joined, object.path, "/", object.path,
                      "a path /teams/TEAM/NAME");
    const auto parsed = parse_json(object.value);
    if (const auto* faults = std::get_if<errors>(&parsed)) {
        for (const core::settings_error& fault : *faults)
            joined.faults.push_back({object.path, fault});
        return;
    }
    const json& value = std::get<json>(parsed);
    if (!value.is_object())
        return refuse(joined, object.path, "/", value.dump(), "an object");
    for (const auto& [key, list] : value.items()) {
        if (std::ranges::find(list_names, key) == list_names.end())
            refuse(joined, object.path, core::concat("/", key), list.dump(),
                   "one of: backend_servers, classes, models, regions, "
                   "workspaces");
        else
            join_list(joined, object, *team, key, list);
    }
}

void add_teams(joined_lists& joined, std::span<const tree_object> objects)
{
    std::set<std::string> names;
    for (const tree_object& object : objects) {
        if (const auto team = team_of(object.path))
            names.insert(team->value());
    }
    json& teams = joined.document["teams"] = json::array();
    for (const std::string& name : names)
        teams.push_back({{"name", name}});
}

/// A fault's path split into "/LIST/INDEX" and the rest.
struct element_path
{
    std::string list;
    std::size_t index = 0;
    std::string rest;
};

std::optional<element_path> split(const std::string& path)
{
    const std::size_t list_end = path.find('/', 1);
    if (list_end == std::string::npos)
        return std::nullopt;
    const std::size_t index_end =
        std::min(path.find('/', list_end + 1), path.size());
    element_path parts;
    parts.list = path.substr(1, list_end - 1);
    parts.rest = path.substr(index_end);
    if (!absl::SimpleAtoi(path.substr(list_end + 1, index_end - list_end - 1),
                          &parts.index))
        return std::nullopt;
    return parts;
}

/// Notes a fault under the object that it came from. The element to leave
/// out, or nothing when the fault belongs to no element.
std::optional<std::pair<std::string, std::size_t>>
note(joined_lists& joined, const core::settings_error& fault)
{
    const auto parts = split(fault.path);
    const auto origins =
        parts ? joined.origins.find(parts->list) : joined.origins.end();
    if (origins == joined.origins.end() ||
        parts->index >= origins->second.size()) {
        joined.faults.push_back({"", fault});
        return std::nullopt;
    }
    const origin& from = origins->second[parts->index];
    core::settings_error local = fault;
    local.path = core::concat("/", parts->list, "/", from.index, parts->rest);
    joined.faults.push_back({from.object_path, std::move(local)});
    return std::pair(parts->list, parts->index);
}

/// Leaves out every element that has a fault; false when none was.
bool leave_out(joined_lists& joined, const errors& faults)
{
    std::set<std::pair<std::string, std::size_t>, std::greater<>> elements;
    for (const core::settings_error& fault : faults) {
        if (const auto element = note(joined, fault))
            elements.insert(*element);
    }
    for (const auto& [list, index] : elements) {
        joined.document[list].erase(index);
        auto& origins = joined.origins[list];
        origins.erase(origins.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return !elements.empty();
}

/// Minimum shares that add up to more than the whole shrink alike.
void fit_shares(json& document, std::vector<tree_fault>& faults)
{
    double sum = 0.0;
    json& classes = document["classes"];
    const core::service_class fallback;
    for (const json& some : classes)
        sum += some.value("minimum_share", fallback.minimum_share);
    if (sum <= 1.0)
        return;
    faults.push_back(
        {"",
         {"/classes", core::concat("minimum shares that add up to ", sum),
          "a sum of 1 at most; all were made smaller"}});
    constexpr double just_below_one = 0.999999;
    for (json& some : classes)
        some["minimum_share"] =
            some.value("minimum_share", fallback.minimum_share) *
            just_below_one / sum;
}

bool is_of_shares(const core::settings_error& fault)
{
    return fault.path == "/classes";
}

} // namespace

assembled assemble(std::span<const tree_object> objects)
{
    std::vector<tree_object> sorted;
    std::ranges::copy_if(
        objects, std::back_inserter(sorted),
        [](const tree_object& object) { return !is_move_path(object.path); });
    std::ranges::sort(sorted);
    joined_lists joined;
    add_teams(joined, sorted);
    for (const tree_object& object : sorted)
        join_object(joined, object);
    // Each round leaves out an element or fits the shares, so this ends.
    while (true) {
        auto parsed = detail::parse_deployment(joined.document);
        if (auto* value = std::get_if<deployment>(&parsed))
            return {std::move(*value), std::move(joined.faults)};
        errors faults = std::get<errors>(std::move(parsed));
        const bool shares = std::erase_if(faults, is_of_shares) > 0;
        if (!leave_out(joined, faults)) {
            if (!shares)
                return {{}, std::move(joined.faults)};
            fit_shares(joined.document, joined.faults);
        }
    }
}

} // namespace oriolefall::settings
