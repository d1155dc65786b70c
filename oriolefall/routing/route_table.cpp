#include "oriolefall/routing/route_table.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace oriolefall::routing {

namespace {

/// A host without its port, in lower case.
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
    for (std::size_t place = 0; place < routes.size(); ++place)
        hosts_[host_key(routes[place].host)].push_back(place);
    for (auto& [host, places] : hosts_)
        std::ranges::stable_sort(places, std::ranges::greater{},
                                 [&routes](std::size_t place) {
                                     return routes[place].path_prefix.size();
                                 });
    for (std::size_t place = 0; place < settings_.workspaces.size(); ++place)
        std::ranges::for_each(
            settings_.workspaces[place].api_keys,
            [&](const std::string& key) { keys_.emplace(key, place); });
    for (std::size_t place = 0; place < settings_.services.size(); ++place)
        services_.emplace(settings_.services[place].name.value(), place);
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    const auto found = hosts_.find(host_key(host));
    if (found == hosts_.end())
        return nullptr;
    const auto place =
        std::ranges::find_if(found->second, [&](std::size_t each) {
            return path.starts_with(settings_.routes[each].path_prefix);
        });
    return place == found->second.end() ? nullptr : &settings_.routes[*place];
}

const workspace* route_table::find_workspace(std::string_view key) const
{
    const auto found = keys_.find(core::to_absl(key));
    return found == keys_.end() ? nullptr
                                : &settings_.workspaces[found->second];
}

const service* route_table::find_service(const service_name& name) const
{
    const auto found = services_.find(name.value());
    return found == services_.end() ? nullptr
                                    : &settings_.services[found->second];
}

bool route_table::asks_for_key(const route& wanted) const
{
    return !wanted.is_public && !settings_.workspaces.empty();
}

const route_settings& route_table::settings() const
{
    return settings_;
}

bool may_replace(const route_settings* held, const route_settings& next)
{
    return held == nullptr || next.version > held->version;
}

} // namespace oriolefall::routing
