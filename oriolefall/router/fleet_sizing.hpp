#ifndef ORIOLEFALL_ROUTER_FLEET_SIZING_HPP
#define ORIOLEFALL_ROUTER_FLEET_SIZING_HPP

#include "oriolefall/dispatch/server_entry.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/observe/event_log.hpp"
#include "oriolefall/routing/route_settings.hpp"
#include "oriolefall/sizing/demand_reader.hpp"
#include "oriolefall/sizing/size_planner.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace oriolefall::router {

/// Feeds the planner of the sizes of elastic services with what this instance
/// knows. Called on the thread of the duties.
class fleet_sizing
{
public:
    explicit fleet_sizing(observe::event_log& log);

    /// The planners refer to this object, which must live longer.
    [[nodiscard]] duties::planner make_size_planner();
    [[nodiscard]] duties::planner make_demand_planner();

    void set_services(const std::vector<routing::service>& services);
    void set_servers(absl::Time now,
                     const std::vector<dispatch::server_entry>& servers);
    void set_members(const std::vector<membership::member>& members);

private:
    void on_demand(absl::Time now, const sizing::fleet_demand& demand,
                   std::size_t regions);

    sizing::size_planner planner_;
    sizing::demand_reader reader_;
    /// Number of regions that have instances.
    std::size_t regions_ = 0;
};

} // namespace oriolefall::router

#endif
