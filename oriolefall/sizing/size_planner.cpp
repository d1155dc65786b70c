#include "oriolefall/sizing/size_planner.hpp"

#include "oriolefall/sizing/size_record.hpp"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace oriolefall::sizing {

namespace {

constexpr auto collection = "oriolefall-duties";
constexpr auto record_name = "sizing";
/// Used until a server of the service was listed: one server for each region
/// with demand, whose slots are known then.
constexpr double unknown_capacity = 1e4;
/// Wait before the record is read again.
constexpr absl::Duration read_interval = absl::Milliseconds(500);

std::uint32_t count_of(const pool_counts& counts, const server_pool& pool)
{
    const auto found = counts.find(pool);
    return found == counts.end() ? 0 : found->second;
}

void set_count(pool_counts& counts, const server_pool& pool,
               std::uint32_t count)
{
    if (count == 0)
        counts.erase(pool);
    else
        counts[pool] = count;
}

std::uint32_t without(std::uint32_t from, std::uint32_t what)
{
    return from - std::min(from, what);
}

std::uint32_t min_servers(const routing::elastic_capacity& bounds)
{
    return std::min(bounds.min_servers, bounds.max_servers);
}

} // namespace

size_planner::size_planner(sizing_settings settings, decision_hook on_decision)
    : settings_(settings), on_decision_(std::move(on_decision)), book_(settings)
{
}

void size_planner::set_services(const std::vector<elastic_service>& services)
{
    std::map<routing::service_name, service_state> kept;
    for (const elastic_service& service : services) {
        if (const auto found = services_.find(service.name);
            found != services_.end())
            kept.insert(services_.extract(found));
        kept.try_emplace(service.name, settings_).first->second.capacity =
            service.capacity;
    }
    services_ = std::move(kept);
    plan_at_ = absl::InfinitePast();
}

void size_planner::set_regions(
    const std::map<core::failure_domain_name, core::region_name>& regions)
{
    for (const auto& [domain, region] : regions)
        regions_[domain] = region;
}

void size_planner::set_servers(absl::Time now,
                               const std::vector<known_server>& servers)
{
    pool_counts running;
    std::map<routing::service_name, std::pair<double, double>> slots;
    for (const known_server& server : servers) {
        regions_[server.location.failure_domain] = server.location.region;
        if (server.is_draining)
            continue;
        ++running[{.service = server.service,
                   .failure_domain = server.location.failure_domain,
                   .is_spot = server.is_spot}];
        auto& [sum, count] = slots[server.service];
        sum += server.slots;
        ++count;
    }
    for (const auto& [service, mean] : slots)
        slots_[service] = mean.first / mean.second;
    if (running == book_.all_running())
        return;
    const pool_counts before = book_.all_running();
    const std::vector<server_pool> lost = book_.on_running(now, running);
    for (const server_pool& pool : lost)
        counts_.servers_lost +=
            count_of(before, pool) - count_of(running, pool);
    drop_wanted(lost);
    // Servers that nobody ordered since the lease was acquired are kept.
    for (const auto& [pool, count] : running)
        if (!book_.has_order(pool) && count > count_of(before, pool))
            wanted_[pool] = std::max(count_of(wanted_, pool), count);
    plan_at_ = absl::InfinitePast();
}

void size_planner::set_demand(absl::Time now, const fleet_demand& demand)
{
    for (auto& [name, service] : services_) {
        const auto found = demand.find(name);
        service.demand.update(
            now, found == demand.end() ? domain_demand{} : found->second,
            [this](const auto& domain) { return region_of(domain); },
            running_capacity(name), service.capacity.startup_time);
    }
    demand_at_ = now;
    plan_at_ = absl::InfinitePast();
}

void size_planner::set_coverage(double share)
{
    coverage_ = share;
}

void size_planner::set_capacity(const routing::service_name& service,
                                double calls_per_server)
{
    if (calls_per_server > 0)
        learned_calls_[service] = calls_per_server;
    else
        learned_calls_.erase(service);
}

duties::planner size_planner::make_planner()
{
    return {
        .name = "sizing",
        .on_acquired = [this](absl::Time,
                              std::uint64_t number) { on_acquired(number); },
        .next = [this](absl::Time now) { return next(now); },
        .on_result =
            [this](absl::Time now, const duties::task& task,
                   const duties::task_result& result) {
                on_result(now, task, result);
            },
        .next_at = [this] { return next_at(); }};
}

void size_planner::on_acquired(std::uint64_t fencing_number)
{
    fencing_number_ = fencing_number;
    is_record_known_ = false;
    is_record_taken_ = false;
    is_replaced_ = false;
    record_revision_ = 0;
    recorded_.clear();
    record_at_ = absl::InfinitePast();
    plan_at_ = absl::InfinitePast();
    has_due_orders_ = false;
    has_demand_ = false;
    book_.reset();
    wanted_ = book_.all_running();
    timers_.clear();
    shrunk_at_.clear();
}

std::optional<duties::task> size_planner::next(absl::Time now)
{
    has_due_orders_ = false;
    if (fencing_number_ == 0 || is_replaced_ || services_.empty())
        return std::nullopt;
    if (!is_record_known_) {
        if (now < record_at_)
            return std::nullopt;
        return duties::read_objects{.collection = collection};
    }
    if (now >= plan_at_) {
        plan(now);
        plan_at_ = now + settings_.plan_interval;
    }
    if (!has_demand_)
        return std::nullopt;
    if (now >= record_at_ && to_record() != recorded_) {
        pending_record_ = to_record();
        record_at_ = now + settings_.record_interval;
        return duties::write_object{
            .collection = collection,
            .name = record_name,
            .value = print(size_record{.fencing_number = fencing_number_,
                                       .orders = pending_record_}),
            .expected_revision = record_revision_};
    }
    const std::vector<duties::size_order> orders = due_orders(now);
    has_due_orders_ = !orders.empty();
    if (orders.empty() || now < book_.ready_at())
        return std::nullopt;
    book_.on_sent(orders.front());
    return duties::provider_call{.order = orders.front()};
}

absl::Time size_planner::next_at() const
{
    if (fencing_number_ == 0 || is_replaced_ || services_.empty())
        return absl::InfiniteFuture();
    if (!is_record_known_)
        return record_at_;
    absl::Time at = plan_at_;
    if (has_demand_ && to_record() != recorded_)
        at = std::min(at, record_at_);
    if (has_due_orders_)
        at = std::min(at, book_.ready_at());
    return at;
}

void size_planner::on_result(absl::Time now, const duties::task& task,
                             const duties::task_result& result)
{
    if (std::holds_alternative<duties::read_objects>(task)) {
        on_record_read(now, result);
    } else if (std::holds_alternative<duties::write_object>(task)) {
        on_record_written(now, result);
    } else if (const auto* order = std::get_if<duties::size_order>(
                   &std::get<duties::provider_call>(task).order)) {
        on_order_result(now, *order, result);
    }
}

void size_planner::on_record_read(absl::Time now,
                                  const duties::task_result& result)
{
    record_at_ = now + read_interval;
    const auto* read = std::get_if<duties::objects_read>(&result);
    if (read == nullptr)
        return;
    const auto found = std::ranges::find(read->objects, record_name,
                                         &duties::object_version::name);
    size_record record;
    record_revision_ = 0;
    if (found != read->objects.end()) {
        record_revision_ = found->revision;
        if (auto parsed = parse_size_record(found->value))
            record = *std::move(parsed);
        else
            ++counts_.records_unreadable;
    }
    if (record.fencing_number > fencing_number_) {
        is_replaced_ = true;
        return;
    }
    is_record_known_ = true;
    record_at_ = now;
    recorded_ = record.orders;
    if (std::exchange(is_record_taken_, true))
        return;
    for (const auto& [pool, count] : record.orders)
        set_count(wanted_, pool, std::max(count_of(wanted_, pool), count));
    plan_at_ = absl::InfinitePast();
}

void size_planner::on_record_written(absl::Time now,
                                     const duties::task_result& result)
{
    if (const auto* written = std::get_if<duties::object_written>(&result)) {
        record_revision_ = written->revision;
        recorded_ = pending_record_;
        return;
    }
    // The write may have been executed: only the record itself tells.
    is_record_known_ = false;
    record_at_ = now + read_interval;
}

void size_planner::on_order_result(absl::Time now,
                                   const duties::size_order& order,
                                   const duties::task_result& result)
{
    if (std::holds_alternative<duties::provider_accepted>(result)) {
        ++counts_.orders_accepted;
        book_.on_accepted(now, order);
    } else if (const auto* refused =
                   std::get_if<duties::provider_refused>(&result)) {
        ++counts_.orders_refused;
        book_.on_refused(now, order, refused->status);
        const server_pool pool{.service = order.service,
                               .failure_domain = order.failure_domain,
                               .is_spot = order.is_spot};
        if (book_.is_held_off(now, pool))
            drop_wanted({pool});
    } else {
        ++counts_.orders_failed;
        book_.on_failed(now, order);
    }
    plan_at_ = std::min(plan_at_, now);
}

void size_planner::plan(absl::Time now)
{
    has_demand_ =
        has_demand_ || (coverage_ >= settings_.min_coverage &&
                        now - demand_at_ <= settings_.demand_lifetime);
    if (!has_demand_)
        return;
    for (auto& [name, service] : services_)
        plan_service(now, name, service);
}

void size_planner::plan_service(absl::Time now,
                                const routing::service_name& name,
                                service_state& service)
{
    drop_wanted(book_.drop_missing(now, name, service.capacity.startup_time));
    const pool_counts before = wanted_;
    const size_target target = plan_target(make_input(now, name, service));
    const bool is_demand_known = coverage_ >= settings_.min_coverage &&
                                 now - demand_at_ <= settings_.demand_lifetime;
    std::uint32_t spot_budget = max_new_spot(name, target);
    for (const domain_target& domain : target.domains) {
        const pool_pair pools{
            .on_demand = {.service = name, .failure_domain = domain.name},
            .spot = {.service = name,
                     .failure_domain = domain.name,
                     .is_spot = true}};
        spot_budget -=
            grow(now, pools, domain, service.capacity.max_servers, spot_budget);
        if (is_demand_known)
            shrink(now, pools, domain, target, service.capacity.max_servers);
    }
    if (wanted_ != before && on_decision_)
        report(name, service, target);
}

target_input size_planner::make_input(absl::Time now,
                                      const routing::service_name& name,
                                      const service_state& service) const
{
    const routing::elastic_capacity& bounds = service.capacity;
    target_input input{.min_servers = bounds.min_servers,
                       .max_servers = bounds.max_servers,
                       .has_spot =
                           bounds.spot_price > 0 && bounds.spot_price < 1,
                       .local_share = settings_.local_share};
    input.needs =
        service.demand.needs(bounds.startup_time, calls_per_server(name));
    for (const core::failure_domain_name& domain : domains_of(name, service)) {
        const server_pool on_demand{.service = name, .failure_domain = domain};
        const server_pool spot{
            .service = name, .failure_domain = domain, .is_spot = true};
        const auto limit = [&](const server_pool& pool) {
            return book_.is_held_off(now, pool) ? book_.present(pool)
                                                : bounds.max_servers;
        };
        const core::region_name region = region_of(domain);
        const auto price = bounds.prices.find(domain);
        input.domains.push_back(
            {.name = domain,
             .region = region,
             .price = price == bounds.prices.end() ? 1.0 : price->second,
             .demand_share = service.demand.share(domain, region),
             .on_demand = book_.present(on_demand),
             .spot = book_.present(spot),
             .on_demand_limit = limit(on_demand),
             .spot_limit = limit(spot)});
    }
    return input;
}

std::uint32_t size_planner::max_new_spot(const routing::service_name& name,
                                         const size_target& target) const
{
    if (settings_.exchanges_kinds)
        return std::numeric_limits<std::uint32_t>::max();
    std::uint32_t wanted = 0;
    for (const auto& [pool, count] : wanted_)
        wanted += pool.service == name ? count : 0;
    return target.needed - std::min(target.needed, wanted);
}

std::uint32_t size_planner::grow(absl::Time now, const pool_pair& pools,
                                 const domain_target& target,
                                 std::uint32_t max_servers,
                                 std::uint32_t spot_budget)
{
    const auto raise = [&](const server_pool& pool, std::uint32_t need,
                           std::uint32_t room) {
        const std::uint32_t before = count_of(wanted_, pool);
        const std::uint32_t after = std::min(std::max(before, need), room);
        if (after > before)
            timer(now, pool).on_grown(now);
        else if (need >= after)
            timer(now, pool).on_needed(now);
        set_count(wanted_, pool, after);
        return after;
    };
    const std::uint32_t on_demand =
        raise(pools.on_demand, target.on_demand, max_servers);
    // On-demand servers take precedence: urgent calls need them.
    const std::uint32_t before = count_of(wanted_, pools.spot);
    const std::uint32_t missing = target.spot - std::min(target.spot, before);
    const std::uint32_t need =
        target.spot - missing + std::min(missing, spot_budget);
    const std::uint32_t after =
        raise(pools.spot, need, max_servers - on_demand);
    return after - std::min(after, before);
}

void size_planner::shrink(absl::Time now, const pool_pair& pools,
                          const domain_target& target, const size_target& all,
                          std::uint32_t max_servers)
{
    const auto& [service, domain, unused] = pools.on_demand;
    const auto last = shrunk_at_.find({service, domain});
    if (last != shrunk_at_.end() &&
        now - last->second < settings_.shrink_interval)
        return;
    const std::uint32_t on_demand = count_of(wanted_, pools.on_demand);
    const std::uint32_t spot = count_of(wanted_, pools.spot);
    const auto lower = [&](const server_pool& pool, std::uint32_t needed) {
        const std::uint32_t count = count_of(wanted_, pool);
        const auto share = static_cast<std::uint32_t>(settings_.shrink_share *
                                                      (count - needed));
        set_count(wanted_, pool, count - std::max(share, 1U));
        timer(now, pool).on_shrunk(now);
        shrunk_at_.insert_or_assign({service, domain}, now);
    };
    if (on_demand > target.on_demand &&
        timer(now, pools.on_demand).may_shrink(now)) {
        // A failure domain at its upper bound has no room for a spot server
        // before an on-demand server leaves.
        const bool is_exchange =
            target.spot > spot && on_demand + spot >= max_servers;
        if (is_exchange || may_remove(pools.on_demand, all)) {
            lower(pools.on_demand, target.on_demand);
            if (is_exchange)
                set_count(wanted_, pools.spot, spot + 1);
            return;
        }
    }
    if (spot > target.spot && timer(now, pools.spot).may_shrink(now) &&
        may_remove(pools.spot, all))
        lower(pools.spot, target.spot);
}

bool size_planner::may_remove(const server_pool& pool,
                              const size_target& all) const
{
    // Servers that still start are not needed by the calls that run now.
    return book_.running(pool) < count_of(wanted_, pool) ||
           ready_servers(pool.service) > all.needed - all.unmet;
}

void size_planner::report(const routing::service_name& name,
                          const service_state& service,
                          const size_target& target) const
{
    const absl::Duration startup_time = service.capacity.startup_time;
    sizing_decision decision{.service = name,
                             .calls = service.demand.calls(),
                             .forecast_calls =
                                 service.demand.forecast_calls(startup_time),
                             .calls_per_server = calls_per_server(name),
                             .late_margin = service.demand.largest_margin(),
                             .needed = target.needed,
                             .urgent = target.urgent,
                             .unmet = target.unmet,
                             .ready = ready_servers(name)};
    for (const auto& [pool, count] : wanted_)
        if (pool.service == name)
            (pool.is_spot ? decision.wanted_spot : decision.wanted_on_demand) +=
                count;
    on_decision_(decision);
}

std::vector<duties::size_order> size_planner::due_orders(absl::Time now) const
{
    std::vector<duties::size_order> orders;
    for (const auto& [name, service] : services_)
        for (const core::failure_domain_name& domain :
             domains_of(name, service))
            for (const bool is_spot : {false, true}) {
                const server_pool pool{.service = name,
                                       .failure_domain = domain,
                                       .is_spot = is_spot};
                server_pool other = pool;
                other.is_spot = !is_spot;
                if (const auto number =
                        due_number(now, pool, other, service.capacity))
                    orders.push_back({.service = name,
                                      .failure_domain = domain,
                                      .servers = *number,
                                      .is_spot = is_spot});
            }
    // Growth first, and of it the servers for urgent calls. An order without an
    // answer goes behind the others: the next one may be answered.
    std::ranges::stable_sort(orders, {}, [this](const duties::size_order& o) {
        const server_pool pool{.service = o.service,
                               .failure_domain = o.failure_domain,
                               .is_spot = o.is_spot};
        return std::tuple(book_.failed_at(pool),
                          o.servers <= book_.present(pool), o.is_spot);
    });
    return orders;
}

std::optional<std::uint32_t>
size_planner::due_number(absl::Time now, const server_pool& pool,
                         const server_pool& other,
                         const routing::elastic_capacity& bounds) const
{
    const std::uint32_t present = book_.present(pool);
    const number_range others = book_.range(other);
    std::uint32_t number = goal(pool);
    if (number > present)
        number = std::max(present, std::min(number, without(bounds.max_servers,
                                                            others.most)));
    if (number < present) {
        std::uint32_t least = min_servers(bounds);
        // With equal bounds an exchange of kinds has to leave one of them; the
        // provider never runs more than the upper one.
        if (least > 0 && least == bounds.max_servers &&
            goal(other) > book_.present(other))
            --least;
        number =
            std::min(present, std::max(number, without(least, others.least)));
    }
    if (number >= present && book_.is_held_off(now, pool))
        return std::nullopt;
    if (number == present && !book_.is_uncertain(pool))
        return std::nullopt;
    return number;
}

pool_counts size_planner::to_record() const
{
    pool_counts result;
    for (const auto& entry : wanted_)
        if (services_.contains(entry.first.service))
            result.insert(entry);
    return result;
}

std::uint32_t size_planner::goal(const server_pool& pool) const
{
    // What changed since the record was written waits for the next record.
    const std::uint32_t present = book_.present(pool);
    const std::uint32_t recorded = count_of(recorded_, pool);
    return std::clamp(count_of(wanted_, pool), std::min(present, recorded),
                      std::max(present, recorded));
}

std::map<core::region_name, double>
size_planner::running_capacity(const routing::service_name& name) const
{
    std::map<core::region_name, double> capacity;
    for (const auto& [pool, count] : book_.all_running())
        if (pool.service == name)
            capacity[region_of(pool.failure_domain)] +=
                count * calls_per_server(name);
    return capacity;
}

std::vector<core::failure_domain_name>
size_planner::domains_of(const routing::service_name& name,
                         const service_state& service) const
{
    std::set<core::failure_domain_name> domains;
    for (const auto& [domain, price] : service.capacity.prices)
        domains.insert(domain);
    for (const pool_counts* counts : {&wanted_, &book_.all_running()})
        for (const auto& [pool, count] : *counts)
            if (pool.service == name)
                domains.insert(pool.failure_domain);
    // Without prices and servers, the callers tell where servers may be.
    if (domains.empty())
        return service.demand.domains();
    return {domains.begin(), domains.end()};
}

core::region_name
size_planner::region_of(const core::failure_domain_name& domain) const
{
    const auto found = regions_.find(domain);
    return found == regions_.end() ? core::region_name(domain.value())
                                   : found->second;
}

double
size_planner::calls_per_server(const routing::service_name& service) const
{
    if (const auto found = learned_calls_.find(service);
        found != learned_calls_.end())
        return found->second;
    const auto found = slots_.find(service);
    return found == slots_.end() ? unknown_capacity
                                 : std::max(1.0, found->second / 2);
}

std::uint32_t
size_planner::ready_servers(const routing::service_name& service) const
{
    std::uint32_t sum = 0;
    for (const auto& [pool, count] : wanted_)
        if (pool.service == service)
            sum += std::min(count, book_.running(pool));
    return sum;
}

void size_planner::drop_wanted(const std::vector<server_pool>& pools)
{
    for (const server_pool& pool : pools) {
        set_count(wanted_, pool,
                  std::min(count_of(wanted_, pool), book_.present(pool)));
    }
}

shrink_timer& size_planner::timer(absl::Time now, const server_pool& pool)
{
    const auto [found, is_new] = timers_.try_emplace(pool, settings_);
    if (is_new)
        found->second.on_needed(now);
    return found->second;
}

} // namespace oriolefall::sizing
