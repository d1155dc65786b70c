#include "oriolefall/router/fleet_sizing.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace oriolefall::router {

namespace {

/// Part of an engine's slots that calls may take while long prompts are read
/// between the events of others; used until a capacity has been learned.
constexpr double calls_per_slot = 0.25;
/// Watchers publish the demand once in a window of some seconds.
constexpr absl::Duration demand_lifetime = absl::Seconds(12);

/// A server that is started again has to read all shared prompts anew, so that
/// running ones are neither exchanged nor ordered away in a short lull.
constexpr absl::Duration shrink_wait = absl::Minutes(1);
/// The slope between two published demands is uncertain.
constexpr double max_forecast = 1.5;

sizing::sizing_settings make_sizing_settings()
{
    sizing::sizing_settings settings;
    settings.demand_lifetime = demand_lifetime;
    settings.shrink_wait = shrink_wait;
    settings.max_forecast = max_forecast;
    settings.exchanges_kinds = false;
    return settings;
}

void log_decision(observe::event_log& log,
                  const sizing::sizing_decision& decision)
{
    log.write("servers_wanted",
              {{"service", decision.service.value()},
               {"calls", absl::StrCat(decision.calls)},
               {"forecast", absl::StrCat(decision.forecast_calls)},
               {"calls_per_server", absl::StrCat(decision.calls_per_server)},
               {"late_margin", absl::StrCat(decision.late_margin)},
               {"needed", std::to_string(decision.needed)},
               {"urgent", std::to_string(decision.urgent)},
               {"unmet", std::to_string(decision.unmet)},
               {"ready", std::to_string(decision.ready)},
               {"on_demand", std::to_string(decision.wanted_on_demand)},
               {"spot", std::to_string(decision.wanted_spot)}});
}

} // namespace

fleet_sizing::fleet_sizing(observe::event_log& log)
    : planner_(make_sizing_settings(),
               [&log](const sizing::sizing_decision& decision) {
                   log_decision(log, decision);
               }),
      reader_([this](absl::Time now, const sizing::fleet_demand& demand,
                     std::size_t regions) { on_demand(now, demand, regions); })
{
}

duties::planner fleet_sizing::make_size_planner()
{
    return planner_.make_planner();
}

duties::planner fleet_sizing::make_demand_planner()
{
    return reader_.make_planner();
}

void fleet_sizing::set_services(const std::vector<routing::service>& services)
{
    std::vector<sizing::elastic_service> elastic;
    for (const routing::service& each : services) {
        if (!each.elastic)
            continue;
        elastic.push_back({each.name, *each.elastic});
        if (each.engine)
            planner_.set_capacity(
                each.name, std::max(1.0, calls_per_slot * each.engine->slots));
    }
    planner_.set_services(elastic);
}

void fleet_sizing::set_servers(
    absl::Time now, const std::vector<dispatch::server_entry>& servers)
{
    std::vector<sizing::known_server> known;
    std::ranges::transform(
        servers, std::back_inserter(known), [](const auto& entry) {
            return sizing::known_server{entry.service, entry.location,
                                        entry.slots, entry.is_spot,
                                        entry.is_draining || entry.leaves_in};
        });
    planner_.set_servers(now, known);
}

void fleet_sizing::set_members(const std::vector<membership::member>& members)
{
    std::map<core::failure_domain_name, core::region_name> regions;
    std::set<core::region_name> names;
    for (const membership::member& each : members) {
        regions.emplace(each.location.failure_domain, each.location.region);
        names.insert(each.location.region);
    }
    planner_.set_regions(regions);
    regions_ = names.size();
}

void fleet_sizing::on_demand(absl::Time now, const sizing::fleet_demand& demand,
                             std::size_t regions)
{
    planner_.set_coverage(
        static_cast<double>(regions) /
        static_cast<double>(std::max<std::size_t>(regions_, 1)));
    planner_.set_demand(now, demand);
}

} // namespace oriolefall::router
