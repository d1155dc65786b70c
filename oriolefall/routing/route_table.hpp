#ifndef ORIOLEFALL_ROUTING_ROUTE_TABLE_HPP
#define ORIOLEFALL_ROUTING_ROUTE_TABLE_HPP

#include "oriolefall/routing/route_settings.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::routing {

/// Route settings indexed for lookup. Immutable, so safe to use from any
/// thread.
class route_table
{
public:
    explicit route_table(route_settings settings);

    /// The route of `host` whose path prefix is the longest one that matches
    /// `path`, or null.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;
    /// The workspace that the API key belongs to, or null.
    [[nodiscard]] const workspace*
    find_workspace(std::string_view api_key) const;
    [[nodiscard]] const service* find_service(const service_name& name) const;
    /// True if requests of `checked` must carry an API key.
    [[nodiscard]] bool requires_key(const route& checked) const;
    [[nodiscard]] const route_settings& settings() const;

private:
    route_settings settings_;
    /// Indices into `settings_.routes` by host, longest path prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> routes_by_host_;
    absl::flat_hash_map<std::string, std::size_t> workspaces_by_key_;
    absl::flat_hash_map<std::string, std::size_t> services_by_name_;
};

/// True if `next` may replace `current`, which is null before the first
/// settings. Within one process settings never revert to an older version.
[[nodiscard]] bool may_replace(const route_settings* current,
                               const route_settings& next);

} // namespace oriolefall::routing

#endif
