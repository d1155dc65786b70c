#include "oriolefall/core/concat.hpp"
#include "oriolefall/settings/deployment_reader.hpp"
#include "oriolefall/settings/duplicates.hpp"

#include <numeric>
#include <set>
#include <string>

namespace oriolefall::settings::detail {

namespace {

using name_set = std::set<std::string>;

template <class List, class Name>
name_set names_of(const List& list, Name name)
{
    name_set names;
    for (const auto& element : list)
        names.insert(std::invoke(name, element).value());
    return names;
}

/// Reports a name that is not in `known`. An empty name was already reported
/// when it was read.
void report_unknown(const std::string& name, const name_set& known,
                    std::string_view kind, std::string path, errors& faults)
{
    if (!name.empty() && !known.contains(name))
        faults.push_back(
            {std::move(path), core::concat("\"", name, "\""),
             core::concat("the name of a ", kind, " of the deployment")});
}

void check_duplicates(const deployment& value, errors& faults)
{
    report_duplicates(value.regions, &region::name, "/regions", "name", faults);
    report_duplicates(value.teams, &team::name, "/teams", "name", faults);
    report_duplicates(value.models, &model::name, "/models", "name", faults);
    report_duplicates(value.classes, &core::service_class::name, "/classes",
                      "name", faults);
    report_duplicates(value.workspaces, &workspace::name, "/workspaces", "name",
                      faults);
    report_duplicates(value.backend_servers, &core::backend_server::id,
                      "/backend_servers", "id", faults);
}

void check_workspaces(const deployment& value, errors& faults)
{
    const name_set teams = names_of(value.teams, &team::name);
    for (std::size_t i = 0; i < value.workspaces.size(); ++i)
        report_unknown(value.workspaces[i].team.value(), teams, "team",
                       core::concat("/workspaces/", i, "/team"), faults);
}

void check_location(const deployment& value, const core::location& location,
                    const std::string& path, errors& faults)
{
    const auto found =
        std::ranges::find(value.regions, location.region, &region::name);
    if (found == value.regions.end())
        return report_unknown(location.region.value(), {}, "region",
                              path + "/region", faults);
    name_set domains;
    for (const core::failure_domain_name& name : found->failure_domains)
        domains.insert(name.value());
    report_unknown(location.failure_domain.value(), domains,
                   "failure domain of its region", path + "/failure_domain",
                   faults);
}

name_set service_classes(const deployment& value)
{
    name_set names;
    for (const core::service_class& service_class : value.classes) {
        if (service_class.kind == core::call_kind::service)
            names.insert(service_class.name.value());
    }
    return names;
}

void check_servers(const deployment& value, errors& faults)
{
    const name_set models = names_of(value.models, &model::name);
    const name_set services = service_classes(value);
    for (std::size_t i = 0; i < value.backend_servers.size(); ++i) {
        const core::backend_server& server = value.backend_servers[i];
        const std::string path = core::concat("/backend_servers/", i);
        const bool is_engine = server.kind == core::call_kind::generate;
        check_location(value, server.location, path + "/location", faults);
        for (std::size_t j = 0; j < server.serves.size(); ++j)
            report_unknown(server.serves[j], is_engine ? models : services,
                           is_engine ? "model" : "class of kind service",
                           core::concat(path, "/serves/", j), faults);
    }
}

void check_shares(const deployment& value, errors& faults)
{
    const double sum = std::accumulate(
        value.classes.begin(), value.classes.end(), 0.0,
        [](double total, const core::service_class& service_class) {
            return total + service_class.minimum_share;
        });
    if (sum > 1.0)
        faults.push_back({"/classes",
                          core::concat("minimum shares that add up to ", sum),
                          "a sum of 1 at most"});
}

} // namespace

void check_deployment(const deployment& value, errors& faults)
{
    check_duplicates(value, faults);
    check_workspaces(value, faults);
    check_servers(value, faults);
    check_shares(value, faults);
}

} // namespace oriolefall::settings::detail
