#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Share of an engine's KV cache in which prompts are assumed to stay cached.
constexpr double cached_prompt_share = 0.75;

} // namespace

void dispatcher::on(const routes_changed& event)
{
    assert(event.table);
    if (!routing::may_replace(table_ ? &table_->settings() : nullptr,
                              event.table->settings()))
        return;
    table_ = event.table;
    for (auto& [name, pool] : pools_)
        pool.lanes().set_routes(table_->settings(), name);
    answer_times_.keep_routes(table_->settings());
    for (auto& [name, admission] : admissions_)
        admission.most_urgent_tier = most_urgent_tier(name);
    have_all_changed_ = true;
    update_capacity_learning();
    update_cache_capacities();
    update_elastic_services();
}

void dispatcher::on(const servers_changed& event)
{
    has_servers_ = true;
    server_map next;
    for (const server_entry& entry : *event.servers) {
        auto found = servers_.find(entry.id);
        if (found == servers_.end()) {
            auto added = std::make_unique<server_state>(
                entry, settings_.ejection, settings_.capacity);
            added->set_initial_slowness(pool_of(entry.service).mean_slowness());
            set_initial_scale(*added);
            restore_limiter(*added);
            next.emplace(entry.id, std::move(added));
            continue;
        }
        found->second->update_entry(entry);
        next.emplace(entry.id, std::move(found->second));
    }
    for (const auto& [id, server] : servers_)
        if (server && server->limiter().limit())
            restrictions_.keep_limiter({id, server->entry().started_at_ms},
                                       server->limiter());
    servers_ = std::move(next);
    std::map<routing::service_name, std::vector<server_state*>> by_service;
    for (auto& [name, pool] : pools_)
        by_service[name] = {};
    for (auto& [id, server] : servers_) {
        server->restriction =
            restrictions_.of({id, server->entry().started_at_ms});
        server->is_stale =
            std::ranges::find(event.stale, id) != event.stale.end();
        by_service[server->entry().service].push_back(server.get());
    }
    for (auto& [name, servers] : by_service)
        pool_of(name).set_servers(std::move(servers));
    have_all_changed_ = true;
    update_capacity_learning();
    update_cache_capacities();
    update_rate_shares();
}

void dispatcher::restore_limiter(server_state& added)
{
    const auto& entry = added.entry();
    added.limiter() =
        restrictions_.take_limiter({entry.id, entry.started_at_ms});
    if (added.limiter().limit())
        limited_servers_.insert(entry.id);
}

void dispatcher::update_cache_capacities()
{
    if (!table_)
        return;
    for (auto& [id, server] : servers_) {
        const auto* service = table_->find_service(server->entry().service);
        if (service != nullptr && service->engine)
            server->cache().set_capacity(static_cast<std::uint64_t>(
                cached_prompt_share *
                static_cast<double>(service->engine->kv_cache_tokens)));
    }
}

void dispatcher::on(const retry_budget_changed& event)
{
    settings_.retry_budget = event.settings;
    for (auto& [service, budget] : retry_budgets_)
        budget.set_settings(event.settings);
}

void dispatcher::on(const fleet_changed& event)
{
    instance_count_ = std::max(event.instances, settings_.min_instances);
    members_ = event.members;
    update_rate_shares();
    // An instance that has appeared may know nothing of the quarantine.
    if (!quarantine_.all().empty())
        next_quarantine_report_at_ = now_;
}

void dispatcher::on(const load_report_received& event)
{
    peer_load_.update(now_, event.from, event.report);
    have_all_changed_ = true;
    apply_observations(event.report);
}

} // namespace oriolefall::dispatch
