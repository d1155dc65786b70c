#include "tests/adapter/soak/world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace oriolefall::soak {

namespace {

using json = nlohmann::json;

/// How long a server serves on after its leaving was accepted.
constexpr milliseconds drain_time{3200};
constexpr milliseconds start_time{500};
/// Until the store drops the entry of a server that says nothing.
constexpr milliseconds entry_lifetime{3600};
/// For which a store that is restored from a copy is away.
constexpr milliseconds restore_time{700};
/// Until all is written again that the store has lost.
constexpr milliseconds rewrite_time{1000};
constexpr unsigned slots = 16;
/// Versions increase in uneven steps.
constexpr std::uint64_t version_step = 3;

/// Collections in which another writer has entries too.
constexpr std::array<const char*, 3> shared_collections{"servers", "config",
                                                        "oriolefall-instances"};
/// Names of its entries. They stand before all others, and mean something in a
/// request target; pages of a list end at one of them.
constexpr std::array<const char*, 7> odd_names{
    " odd", "#odd", "%7E", "&odd=1", "+odd", "/odd", "0\r\nodd: 1"};

bool is_odd(const std::string& name)
{
    return std::ranges::find(odd_names, name) != odd_names.end();
}

json route(const std::string& name, const std::string& path,
           const std::string& type, const std::string& service, bool resumable)
{
    return {{"name", name},
            {"host", host_name},
            {"pathPrefix", path},
            {"routeType", type},
            {"timeoutMs", route_time_limit.count()},
            {"goalMs", 400},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", 2},
            {"public", false},
            {"resumable", resumable},
            {"gapTargetMs", 400}};
}

json service(const std::string& name)
{
    return {{"name", name}, {"healthPath", "/health"}, {"maxConns", 300}};
}

} // namespace

world::world(asio::io_context& context, ledger& seen, std::uint64_t seed)
    : context_(context), seen_(seen), store_(context), seed_(seed)
{
    const std::vector<std::pair<std::string, unsigned>> services{
        {"desk", 3}, {"annex", 2}, {"models", 4}};
    for (const auto& [name, count] : services)
        for (unsigned each = 0; each < count; ++each)
            places_.push_back({name, each % 2 == 0 ? "north-a" : "south-a",
                               nullptr, nullptr});
}

void world::start()
{
    write_odd_entries();
    write_settings();
    for (place& each : places_)
        start_server(each);
}

void world::write_odd_entries()
{
    for (const char* collection : shared_collections)
        for (const char* name : odd_names)
            store_.put(collection, name, {{"state", 7}});
}

store_server& world::store()
{
    return store_;
}

std::size_t world::server_count() const
{
    return places_.size();
}

void world::write_settings()
{
    version_ += version_step;
    put_settings();
    for (const char* path : {"/lookup/item", "/book/item"})
        seen_.note_moved(path, plain_service_, clock::now());
}

void world::put_settings()
{
    json models = service("models");
    models["engine"] = {
        {"capacity", slots}, {"kvCapacity", 100000}, {"stride", 1}};
    store_.put(
        "config", "main",
        {{"version", version_},
         {"routes",
          {route("lookup", "/lookup/", "safe", plain_service_, false),
           route("book", "/book/", "unsafe", plain_service_, false),
           route("resumable", "/stream/resumable", "streaming", "models", true),
           route("once", "/stream/once", "streaming", "models", false)}},
         {"services", {service("desk"), service("annex"), models}},
         {"limits",
          {{"headerBytes", 16384},
           {"bodyBytes", 4194304},
           {"headerTimeoutMs", 3000},
           {"idleTimeoutMs", 15000}}},
         {"tenants",
          {{{"name", workspace_name},
            {"apiKeys", {api_key}},
            {"priority", 1}}}}});
}

void world::move_routes()
{
    plain_service_ = plain_service_ == "desk" ? "annex" : "desk";
    write_settings();
}

void world::start_server(place& at)
{
    const unsigned number = next_server_++;
    at.server = std::make_shared<work_server>(
        context_,
        work_server_settings{"s" + std::to_string(number), at.service, slots,
                             milliseconds(20), stream_events},
        seen_, seed_ + number);
    at.server->start(0);
    const tcp::endpoint to(asio::ip::address_v4::loopback(), at.server->port());
    if (at.link == nullptr) {
        at.link = std::make_shared<proxy>(context_, to);
        at.link->start();
    } else {
        at.link->lead_to(to);
    }
    write_entry(at, "ready");
}

void world::write_entry(place& at, const std::string& state)
{
    at.state = state;
    store_.put("servers", at.server->settings().id,
               {{"service", at.service},
                {"address", "127.0.0.1:" + std::to_string(at.link->port())},
                {"zone", at.zone},
                {"version", "1"},
                {"capacity", slots},
                {"state", state},
                {"warmupLeftMs", 0},
                {"sequence", 1},
                {"born", 1764800000000}});
}

task<void> world::drain_server(unsigned target)
{
    place& at = places_[target % places_.size()];
    if (std::exchange(at.is_changing, true))
        co_return;
    write_entry(at, "draining");
    seen_.note_leaving(at.server->settings().id, clock::now());
    co_await pause(drain_time);
    store_.erase("servers", at.server->settings().id);
    at.server->crash();
    co_await pause(start_time);
    start_server(at);
    at.is_changing = false;
}

task<void> world::leave_server(unsigned target, milliseconds unlisted)
{
    const auto server = places_[target % places_.size()].server;
    server->set_leaving();
    co_await pause(unlisted);
    if (places_[target % places_.size()].server == server)
        co_await drain_server(target);
}

task<void> world::crash_server(unsigned target, milliseconds away)
{
    place& at = places_[target % places_.size()];
    if (std::exchange(at.is_changing, true))
        co_return;
    const std::string gone = at.server->settings().id;
    at.server->crash();
    co_await pause(away);
    start_server(at);
    at.is_changing = false;
    co_await pause(std::max(entry_lifetime - away, milliseconds(0)));
    store_.erase("servers", gone);
}

task<void> world::restore_store(milliseconds copy_age)
{
    store_.copy();
    co_await pause(copy_age);
    store_.set_fault(store_fault::resets);
    co_await pause(restore_time);
    store_.restore();
    store_.set_fault(store_fault::none);
    co_await pause(rewrite_time);
    put_settings();
    for (place& each : places_)
        if (each.server->is_running())
            write_entry(each, each.state);
    co_await pause(entry_lifetime - rewrite_time);
    erase_lapsed();
}

void world::erase_lapsed()
{
    for (const std::string& name : store_.names_of("servers"))
        if (!is_odd(name) &&
            std::ranges::none_of(places_, [&name](const place& each) {
                return each.server->settings().id == name;
            }))
            store_.erase("servers", name);
}

task<void> world::spoil_server(unsigned target, server_fault fault,
                               milliseconds lasts)
{
    place& at = places_[target % places_.size()];
    const auto server = at.server;
    server->set_fault(fault);
    co_await pause(lasts);
    server->set_fault(server_fault::none);
}

task<void> world::spoil_link(unsigned target, link_fault fault,
                             milliseconds lasts)
{
    const auto link = places_[target % places_.size()].link;
    link->set_fault(fault);
    co_await pause(lasts);
    link->set_fault(link_fault::none);
}

} // namespace oriolefall::soak
