#ifndef ORIOLEFALL_SIZING_SIZE_PLANNER_HPP
#define ORIOLEFALL_SIZING_SIZE_PLANNER_HPP

#include "oriolefall/duties/planner.hpp"
#include "oriolefall/sizing/order_book.hpp"
#include "oriolefall/sizing/regional_demand.hpp"
#include "oriolefall/sizing/server_pool.hpp"
#include "oriolefall/sizing/shrink_timer.hpp"
#include "oriolefall/sizing/size_target.hpp"
#include "oriolefall/sizing/sizing_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolefall::sizing {

/// A service whose servers are ordered from the provider.
struct elastic_service
{
    routing::service_name name;
    routing::elastic_capacity capacity = {};
    std::partial_ordering operator<=>(const elastic_service&) const = default;
};

/// Demand by service and by failure domain of the callers, summed over the
/// instances.
using fleet_demand = std::map<routing::service_name, domain_demand>;

/// Why the wanted numbers of a service changed.
struct sizing_decision
{
    routing::service_name service;
    /// Open calls now, and expected after the start-up time.
    double calls = 0;
    double forecast_calls = 0;
    double calls_per_server = 0;
    /// Largest addition for late answers among the regions.
    double late_margin = 0;
    /// Servers that are needed; of them on-demand ones for urgent calls.
    std::uint32_t needed = 0;
    std::uint32_t urgent = 0;
    /// Servers that no failure domain has room for.
    std::uint32_t unmet = 0;
    /// Servers that run and are not being ordered away.
    std::uint32_t ready = 0;
    std::uint32_t wanted_on_demand = 0;
    std::uint32_t wanted_spot = 0;
    std::partial_ordering operator<=>(const sizing_decision&) const = default;
};

/// Results of the planner's tasks, for metrics.
struct sizing_counts
{
    std::uint64_t orders_accepted = 0;
    std::uint64_t orders_refused = 0;
    std::uint64_t orders_failed = 0;
    std::uint64_t servers_lost = 0;
    std::uint64_t records_unreadable = 0;
    auto operator<=>(const sizing_counts&) const = default;
};

/// Decides how many servers of each kind each failure domain of an elastic
/// service gets, and orders them. Pure; for use by one thread. `now` is the
/// time of the planner's tasks and must not decrease.
class size_planner
{
public:
    using decision_hook = std::function<void(const sizing_decision&)>;

    explicit size_planner(sizing_settings settings,
                          decision_hook on_decision = {});
    size_planner(const size_planner&) = delete;
    size_planner& operator=(const size_planner&) = delete;

    void set_services(const std::vector<elastic_service>& services);
    /// Regions of failure domains; the locations of servers add to them. A
    /// failure domain without a region is one of its own.
    void set_regions(
        const std::map<core::failure_domain_name, core::region_name>& regions);
    void set_servers(absl::Time now, const std::vector<known_server>& servers);
    /// Each set of demands is passed once, about once a second.
    void set_demand(absl::Time now, const fleet_demand& demand);
    /// Share of the known instances that the demand covers.
    void set_coverage(double share);
    /// Calls per server that still meet the targets; half of the slots where
    /// it isn't set.
    void set_capacity(const routing::service_name& service,
                      double calls_per_server);

    /// Refers to this object, which must live longer.
    [[nodiscard]] duties::planner make_planner();

    [[nodiscard]] const sizing_counts& counts() const noexcept
    {
        return counts_;
    }
    /// What is wanted now; pools without servers are left out.
    [[nodiscard]] const pool_counts& wanted() const noexcept
    {
        return wanted_;
    }

private:
    struct service_state
    {
        explicit service_state(const sizing_settings& settings)
            : demand(settings)
        {
        }

        routing::elastic_capacity capacity;
        regional_demand demand;
    };

    struct pool_pair
    {
        server_pool on_demand;
        server_pool spot;
    };

    void on_acquired(std::uint64_t fencing_number);
    std::optional<duties::task> next(absl::Time now);
    void on_result(absl::Time now, const duties::task& task,
                   const duties::task_result& result);
    [[nodiscard]] absl::Time next_at() const;

    void on_record_read(absl::Time now, const duties::task_result& result);
    void on_record_written(absl::Time now, const duties::task_result& result);
    void on_order_result(absl::Time now, const duties::size_order& order,
                         const duties::task_result& result);

    void plan(absl::Time now);
    void plan_service(absl::Time now, const routing::service_name& name,
                      service_state& service);
    [[nodiscard]] target_input make_input(absl::Time now,
                                          const routing::service_name& name,
                                          const service_state& service) const;
    /// Spot servers that may be added for the service now.
    [[nodiscard]] std::uint32_t max_new_spot(const routing::service_name& name,
                                             const size_target& target) const;
    /// Returns the number of spot servers added, `spot_budget` at most.
    std::uint32_t grow(absl::Time now, const pool_pair& pools,
                       const domain_target& target, std::uint32_t max_servers,
                       std::uint32_t spot_budget);
    void shrink(absl::Time now, const pool_pair& pools,
                const domain_target& target, const size_target& all,
                std::uint32_t max_servers);
    /// The servers that are ready suffice without one of this pool.
    [[nodiscard]] bool may_remove(const server_pool& pool,
                                  const size_target& all) const;
    void report(const routing::service_name& name, const service_state& service,
                const size_target& target) const;

    [[nodiscard]] std::vector<duties::size_order>
    due_orders(absl::Time now) const;
    [[nodiscard]] std::optional<std::uint32_t>
    due_number(absl::Time now, const server_pool& pool,
               const server_pool& other,
               const routing::elastic_capacity& bounds) const;
    /// The wanted numbers of the elastic services.
    [[nodiscard]] pool_counts to_record() const;
    [[nodiscard]] std::uint32_t goal(const server_pool& pool) const;

    [[nodiscard]] std::map<core::region_name, double>
    running_capacity(const routing::service_name& name) const;
    [[nodiscard]] std::vector<core::failure_domain_name>
    domains_of(const routing::service_name& name,
               const service_state& service) const;
    [[nodiscard]] core::region_name
    region_of(const core::failure_domain_name& domain) const;
    [[nodiscard]] double
    calls_per_server(const routing::service_name& service) const;
    [[nodiscard]] std::uint32_t
    ready_servers(const routing::service_name& service) const;
    void drop_wanted(const std::vector<server_pool>& pools);
    shrink_timer& timer(absl::Time now, const server_pool& pool);

    sizing_settings settings_;
    decision_hook on_decision_;
    std::map<routing::service_name, service_state> services_;
    std::map<core::failure_domain_name, core::region_name> regions_;
    std::map<routing::service_name, double> learned_calls_;
    /// Mean slots of the servers that were last listed.
    std::map<routing::service_name, double> slots_;
    double coverage_ = 0;
    absl::Time demand_at_ = absl::InfinitePast();
    /// Enough demand is known since the lease was acquired.
    bool has_demand_ = false;

    order_book book_;
    pool_counts wanted_;
    std::map<server_pool, shrink_timer> timers_;
    /// When a server was last ordered away, by service and failure domain.
    std::map<std::pair<routing::service_name, core::failure_domain_name>,
             absl::Time>
        shrunk_at_;

    /// 0: the lease has not been acquired.
    std::uint64_t fencing_number_ = 0;
    bool is_record_known_ = false;
    /// The wanted numbers contain those of the previous holder.
    bool is_record_taken_ = false;
    /// A later holder has written the record.
    bool is_replaced_ = false;
    std::uint64_t record_revision_ = 0;
    pool_counts recorded_;
    pool_counts pending_record_;
    absl::Time record_at_ = absl::InfinitePast();
    absl::Time plan_at_ = absl::InfinitePast();
    bool has_due_orders_ = false;
    sizing_counts counts_;
};

} // namespace oriolefall::sizing

#endif
