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

/// The object and list index that an element of a merged list came from.
struct origin
{
    std::string object_path;
    std::size_t index = 0;
};

/// The merged lists of all objects, with the origin of each element.
struct merged_lists
{
    json document = json::object();
    std::map<std::string, std::vector<origin>, std::less<>> origins;
    std::vector<tree_fault> faults;
};

void add_fault(merged_lists& merged, const std::string& object_path,
               std::string path, std::string found, std::string allowed)
{
    merged.faults.push_back(
        {object_path, {std::move(path), std::move(found), std::move(allowed)}});
}

/// Sets the team of a workspace to the team of its subtree. Returns false when
/// the workspace names another team.
bool assign_team(json& element, const core::team_name& team)
{
    if (!element.is_object())
        return true;
    const auto stated_team = element.find("team");
    if (stated_team != element.end() && *stated_team != team.value())
        return false;
    element["team"] = team.value();
    return true;
}

void merge_list(merged_lists& merged, const tree_object& object,
                const core::team_name& team, std::string_view name,
                const json& list)
{
    const std::string path = core::concat("/", name);
    if (!list.is_array())
        return add_fault(merged, object.path, path, list.dump(),
                         "a list of objects");
    json& target = merged.document[std::string(name)];
    std::vector<origin>& origins = merged.origins[std::string(name)];
    for (std::size_t i = 0; i < list.size(); ++i) {
        json element = list[i];
        if (name == "workspaces" && !assign_team(element, team)) {
            add_fault(merged, object.path, core::concat(path, "/", i, "/team"),
                      element["team"].dump(),
                      core::concat("the team of the subtree, \"", team.value(),
                                   "\""));
            continue;
        }
        target.push_back(std::move(element));
        origins.push_back({object.path, i});
    }
}

void merge_object(merged_lists& merged, const tree_object& object)
{
    const auto team = team_of(object.path);
    if (!team)
        return add_fault(merged, object.path, "/", object.path,
                         "a path /teams/TEAM/NAME");
    const auto parsed = parse_json(object.value);
    if (const auto* faults = std::get_if<errors>(&parsed)) {
        for (const core::settings_error& fault : *faults)
            merged.faults.push_back({object.path, fault});
        return;
    }
    const json& value = std::get<json>(parsed);
    if (!value.is_object())
        return add_fault(merged, object.path, "/", value.dump(), "an object");
    for (const auto& [key, list] : value.items()) {
        if (std::ranges::find(list_names, key) == list_names.end())
            add_fault(merged, object.path, core::concat("/", key), list.dump(),
                      "one of: backend_servers, classes, models, regions, "
                      "workspaces");
        else
            merge_list(merged, object, *team, key, list);
    }
}

void add_teams(merged_lists& merged, std::span<const tree_object> objects)
{
    std::set<std::string> names;
    for (const tree_object& object : objects) {
        if (const auto team = team_of(object.path))
            names.insert(team->value());
    }
    json& teams = merged.document["teams"] = json::array();
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

std::optional<element_path> split_path(const std::string& path)
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

/// Records a fault under the object that the faulty element came from. Returns
/// the list and index of the element, or nullopt when no element is at fault.
std::optional<std::pair<std::string, std::size_t>>
record_fault(merged_lists& merged, const core::settings_error& fault)
{
    const auto parts = split_path(fault.path);
    const auto origins =
        parts ? merged.origins.find(parts->list) : merged.origins.end();
    if (origins == merged.origins.end() ||
        parts->index >= origins->second.size()) {
        merged.faults.push_back({"", fault});
        return std::nullopt;
    }
    const origin& source = origins->second[parts->index];
    core::settings_error object_fault = fault;
    object_fault.path =
        core::concat("/", parts->list, "/", source.index, parts->rest);
    merged.faults.push_back({source.object_path, std::move(object_fault)});
    return std::pair(parts->list, parts->index);
}

/// Removes every faulty element and returns whether there was one.
bool remove_faulty_elements(merged_lists& merged, const errors& faults)
{
    std::set<std::pair<std::string, std::size_t>, std::greater<>> elements;
    for (const core::settings_error& fault : faults) {
        if (const auto element = record_fault(merged, fault))
            elements.insert(*element);
    }
    for (const auto& [list, index] : elements) {
        merged.document[list].erase(index);
        auto& origins = merged.origins[list];
        origins.erase(origins.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return !elements.empty();
}

/// Scales the minimum shares down in proportion when their sum exceeds 1.
void scale_minimum_shares(json& document, std::vector<tree_fault>& faults)
{
    double sum = 0.0;
    json& classes = document["classes"];
    const core::service_class defaults;
    for (const json& service_class : classes)
        sum += service_class.value("minimum_share", defaults.minimum_share);
    if (sum <= 1.0)
        return;
    faults.push_back(
        {"",
         {"/classes", core::concat("minimum shares that add up to ", sum),
          "a sum of 1 at most; all were made smaller"}});
    constexpr double just_below_one = 0.999999;
    for (json& service_class : classes)
        service_class["minimum_share"] =
            service_class.value("minimum_share", defaults.minimum_share) *
            just_below_one / sum;
}

bool is_share_sum_fault(const core::settings_error& fault)
{
    return fault.path == "/classes";
}

} // namespace

assembled_deployment assemble(std::span<const tree_object> objects)
{
    std::vector<tree_object> sorted;
    std::ranges::copy_if(
        objects, std::back_inserter(sorted),
        [](const tree_object& object) { return !is_move_path(object.path); });
    std::ranges::sort(sorted);
    merged_lists merged;
    add_teams(merged, sorted);
    for (const tree_object& object : sorted)
        merge_object(merged, object);
    // Terminates, since each iteration removes an element or scales the
    // shares.
    while (true) {
        auto parsed = detail::parse_deployment(merged.document);
        if (auto* value = std::get_if<deployment>(&parsed))
            return {std::move(*value), std::move(merged.faults)};
        errors faults = std::get<errors>(std::move(parsed));
        const bool has_share_sum_fault =
            std::erase_if(faults, is_share_sum_fault) > 0;
        if (!remove_faulty_elements(merged, faults)) {
            if (!has_share_sum_fault)
                return {{}, std::move(merged.faults)};
            scale_minimum_shares(merged.document, merged.faults);
        }
    }
}

} // namespace oriolefall::settings
