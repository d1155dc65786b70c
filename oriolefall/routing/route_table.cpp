#include "oriolefall/routing/route_table.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace oriolefall::routing {

namespace {

/// The host in lower case and without its port.
std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.back() != ']')
        host = host.substr(0, colon);
    return absl::AsciiStrToLower(core::to_absl(host));
}

} // namespace

route_table::route_table(route_settings settings)
    : settings_(std::move(settings))
{
    const auto& routes = settings_.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        routes_by_host_[host_key(routes[index].host)].push_back(index);
    for (auto& [host, indices] : routes_by_host_)
        std::ranges::stable_sort(indices, std::ranges::greater{},
                                 [&routes](std::size_t index) {
                                     return routes[index].path_prefix.size();
                                 });
    for (std::size_t index = 0; index < settings_.workspaces.size(); ++index)
        std::ranges::for_each(settings_.workspaces[index].api_keys,
                              [&](const std::string& key) {
                                  workspaces_by_key_.emplace(key, index);
                              });
    for (std::size_t index = 0; index < settings_.services.size(); ++index)
        services_by_name_.emplace(settings_.services[index].name.value(),
                                  index);
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    const auto found = routes_by_host_.find(host_key(host));
    if (found == routes_by_host_.end())
        return nullptr;
    const auto index =
        std::ranges::find_if(found->second, [&](std::size_t candidate) {
            return path.starts_with(settings_.routes[candidate].path_prefix);
        });
    return index == found->second.end() ? nullptr : &settings_.routes[*index];
}

const workspace* route_table::find_workspace(std::string_view api_key) const
{
    const auto found = workspaces_by_key_.find(core::to_absl(api_key));
    return found == workspaces_by_key_.end()
               ? nullptr
               : &settings_.workspaces[found->second];
}

const service* route_table::find_service(const service_name& name) const
{
    const auto found = services_by_name_.find(name.value());
    return found == services_by_name_.end()
               ? nullptr
               : &settings_.services[found->second];
}

bool route_table::requires_key(const route& checked) const
{
    return !checked.is_public && !settings_.workspaces.empty();
}

const route_settings& route_table::settings() const
{
    return settings_;
}

bool may_replace(const route_settings* current, const route_settings& next)
{
    return current == nullptr || next.version > current->version;
}

} // namespace oriolefall::routing
