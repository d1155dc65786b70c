#ifndef ORIOLEFALL_ROUTING_ROUTE_TABLE_HPP
#define ORIOLEFALL_ROUTING_ROUTE_TABLE_HPP

#include "oriolefall/routing/route_settings.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::routing {

/// Settings in force, arranged for lookup. Immutable; any thread.
class route_table
{
public:
    explicit route_table(route_settings settings);

    /// The route of `host` with the longest prefix that begins `path`, or
    /// null.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;
    /// The workspace that holds `api_key`, or null.
    [[nodiscard]] const workspace* find_workspace(std::string_view key) const;
    [[nodiscard]] const service* find_service(const service_name& name) const;
    /// True when requests of `wanted` must carry an API key.
    [[nodiscard]] bool asks_for_key(const route& wanted) const;
    [[nodiscard]] const route_settings& settings() const;

private:
    route_settings settings_;
    /// Places in `settings_.routes`, longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> hosts_;
    absl::flat_hash_map<std::string, std::size_t> keys_;
    absl::flat_hash_map<std::string, std::size_t> services_;
};

/// True when `next` may replace `held` in one process: settings in force
/// never go back to an older version.
[[nodiscard]] bool may_replace(const route_settings* held,
                               const route_settings& next);

} // namespace oriolefall::routing

#endif
