#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Share of an engine's memory in which prompts are taken to stay.
constexpr double kept_share = 0.75;

} // namespace

void dispatcher::on(const routes_changed& event)
{
    assert(event.table);
    if (!routing::may_replace(table_ ? &table_->settings() : nullptr,
                              event.table->settings()))
        return;
    table_ = event.table;
    set_cache_sizes();
}

void dispatcher::on(const servers_changed& event)
{
    servers_known_ = true;
    server_map next;
    for (const server_entry& entry : *event.servers) {
        auto held = servers_.find(entry.id);
        if (held == servers_.end()) {
            auto made =
                std::make_unique<server_state>(entry, settings_.ejection);
            made->assume_slowness(pool_of(entry.service).mean_slowness());
            next.emplace(entry.id, std::move(made));
            continue;
        }
        held->second->replace(entry);
        next.emplace(entry.id, std::move(held->second));
    }
    servers_ = std::move(next);
    std::map<routing::service_name, std::vector<server_state*>> by_service;
    for (auto& [name, pool] : pools_)
        by_service[name] = {};
    for (auto& [id, server] : servers_) {
        server->doubtful =
            std::ranges::find(event.doubtful, id) != event.doubtful.end();
        by_service[server->entry().service].push_back(server.get());
    }
    for (auto& [name, servers] : by_service)
        pool_of(name).set_servers(std::move(servers));
    set_cache_sizes();
}

void dispatcher::set_cache_sizes()
{
    if (!table_)
        return;
    for (auto& [id, server] : servers_) {
        const auto* service = table_->find_service(server->entry().service);
        if (service != nullptr && service->engine)
            server->cache().set_capacity(static_cast<std::uint64_t>(
                kept_share *
                static_cast<double>(service->engine->memory_tokens)));
    }
}

void dispatcher::on(const repeats_changed& event)
{
    settings_.repeats = event.repeats;
    for (auto& [service, budget] : budgets_)
        budget.set_settings(event.repeats);
}

void dispatcher::on(const fleet_changed& event)
{
    instances_ = std::max(event.instances, settings_.least_instances);
}

void dispatcher::on(const load_heard& event)
{
    others_.hear(now_, event.from, event.report);
}

} // namespace oriolefall::dispatch
