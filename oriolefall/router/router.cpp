#include "oriolefall/router/router.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/text.hpp"
#include "oriolefall/membership/watcher_choice.hpp"
#include "oriolefall/settings/endpoint_text.hpp"

#include <absl/time/clock.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <random>
#include <set>
#include <thread>
#include <utility>

namespace oriolefall::router {

namespace {

/// Maximum number of events of one open request that can be queued.
constexpr std::size_t max_events_per_request = 6;
/// Time beyond the shutdown timeout in which the process before this one must
/// have left its addresses.
constexpr absl::Duration listen_margin = absl::Seconds(2);
constexpr std::chrono::milliseconds listen_retry_interval{100};
std::function<std::uint64_t()> random_source()
{
    auto source = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [source] { return (*source)(); };
}

} // namespace

router::router(router_settings settings, router_hooks hooks)
    : settings_(std::move(settings)),
      log_({.instance = settings_.instance.value()},
           observe::standard_output_writer()),
      request_log_({}, log_), hooks_(guarded(std::move(hooks))),
      limits_(std::make_shared<const routing::caller_limits>()),
      members_(std::make_shared<const std::vector<membership::member>>()),
      server_reader_(hooks_.parse_server),
      usage_watchers_(std::make_shared<const std::vector<core::instance_id>>())
{
    settings_.dispatch.max_open_requests = settings_.forward.max_open_requests;
    const auto record = [this](const auto& value) {
        metrics_.record(value);
        request_log_.log(absl::Now(), value);
    };
    if (settings_.usage)
        usage_ = std::make_unique<usage::usage_exchange>(
            *settings_.usage,
            usage::usage_source{settings_.instance, settings_.location.region,
                                settings_.location.failure_domain,
                                settings_.control.link.incarnation, absl::Now(),
                                core::boot_now()});
    decide_duty::hooks decide_hooks{
        [this](const dispatch::action& action) {
            return forwarder_->submit(action);
        },
        record,
        record,
        record,
        record,
        record,
        [this](const dispatch::load_report& report) { send_to_peers(report); },
        [this](const dispatch::crash_report& report) { send_to_peers(report); },
        [this](const dispatch::notice_report& report) {
            send_to_peers(report);
        }};
    decide_hooks.record_capacity = [this](const auto& value) {
        metrics_.record(value);
    };
    add_usage_hooks(decide_hooks);
    decide_duty_ = std::make_unique<decide_duty>(
        settings_.dispatch,
        dispatch::dispatch_hooks{
            dispatch::expected_time_cost(settings_.dispatch.placement),
            random_source()},
        std::move(decide_hooks),
        max_events_per_request * settings_.forward.max_open_requests);
    forwarder_ = std::make_unique<forward::forwarder>(
        settings_.forward, hooks_.requests,
        forward::forwarder_hooks{
            [this](dispatch::event event) {
                return decide_duty_->try_post(std::move(event));
            },
            [this] { return *limits_.get(); }, read_error_hook()});
    page_duty_ = std::make_unique<page_duty>(
        [this](const std::string& target) { return make_page(target); },
        read_error_hook());
    control_duty_ = std::make_unique<peer::control_duty>(settings_.control,
                                                         control_hooks());
    store_duty_ = std::make_unique<follow::store_duty>(
        settings_.store, hooks_.store, store_hooks());
    make_singleton_duty();
}

router::~router()
{
    stop();
}

std::optional<listen_failure> router::start()
{
    const auto give_up_at =
        std::chrono::steady_clock::now() +
        absl::ToChronoMilliseconds(settings_.shutdown_timeout + listen_margin);
    const std::array<std::pair<core::endpoint, listen_call>, 3> listeners{
        {{settings_.forward.listen, [this] { return forwarder_->listen(); }},
         {settings_.readiness_endpoint,
          [this] { return page_duty_->listen(settings_.readiness_endpoint); }},
         {settings_.directory_endpoint, [this] {
              return page_duty_->listen(settings_.directory_endpoint);
          }}}};
    for (const auto& [address, listen] : listeners)
        if (auto failure = listen_when_free(address, listen, give_up_at))
            return failure;
    decide_duty_->start();
    forward_thread_.emplace("forward", [this] { forwarder_->run(); });
    page_duty_->start();
    store_duty_->start({settings_.instances_collection,
                        settings_.instance.value(),
                        hooks_.print_member(self())});
    if (singleton_duty_)
        singleton_duty_->start();
    log_.write("started", {});
    return std::nullopt;
}

std::optional<listen_failure>
router::listen_when_free(const core::endpoint& address,
                         const listen_call& listen,
                         std::chrono::steady_clock::time_point give_up_at)
{
    bool is_first = true;
    while (const error_code error = listen()) {
        if (std::exchange(is_first, false))
            log_.write("not_listening",
                       {{"address", settings::format_endpoint(address)},
                        {"cause", error.message()}});
        if (error != asio::error::address_in_use ||
            std::chrono::steady_clock::now() >= give_up_at)
            return listen_failure{address, error.message()};
        std::this_thread::sleep_for(listen_retry_interval);
    }
    return std::nullopt;
}

void router::leave()
{
    is_leaving_ = true;
    log_.write("leaving", {});
    control_duty_->post(membership::leave_requested{});
    store_duty_->leave();
    if (singleton_duty_)
        singleton_duty_->leave();
}

void router::stop_accepting(bool closes_listener)
{
    forwarder_->leave(closes_listener);
}

bool router::has_open_connections() const
{
    return forwarder_->counters().callers > 0;
}

void router::give_up_requests()
{
    forwarder_->give_up_requests();
}

void router::stop()
{
    store_duty_->stop();
    control_duty_->stop();
    if (singleton_duty_)
        singleton_duty_->stop();
    forwarder_->stop();
    forward_thread_.reset();
    decide_duty_->stop();
    page_duty_->stop();
}

void router::set_retry_budget(
    const dispatch::retry_budget_settings& retry_budget)
{
    decide_duty_->post_state(dispatch::retry_budget_changed{retry_budget});
}

observe::event_log& router::log()
{
    return log_;
}

net::read_error_hook router::read_error_hook()
{
    return [this](std::string_view reader, std::string_view cause) {
        metrics_.count_read_error();
        log_.write("read_error", {{"reader", std::string(reader)},
                                  {"cause", std::string(cause)}});
    };
}

router_hooks router::guarded(router_hooks hooks)
{
    const net::read_error_hook on_error = read_error_hook();
    hooks.parse_routes =
        net::guarded(on_error, "settings", std::move(hooks.parse_routes));
    hooks.parse_server =
        net::guarded(on_error, "server", std::move(hooks.parse_server));
    hooks.parse_member =
        net::guarded(on_error, "instance", std::move(hooks.parse_member));
    return hooks;
}

follow::store_duty_hooks router::store_hooks()
{
    follow::store_duty_hooks hooks;
    hooks.on_changed = [this](const std::string& collection,
                              const follow::collection_view& view) {
        if (collection == settings_.settings_collection)
            on_settings(view);
        else
            on_servers(view);
        join_when_ready();
    };
    hooks.on_listed =
        [this](const std::vector<follow::stored_object>& objects) {
            on_instances(objects);
        };
    hooks.send = [this](const core::instance_id& to,
                        const follow::view_message& message) {
        std::visit(
            [&](const auto& value) {
                control_duty_->post(peer::outgoing_message{to, value});
            },
            message);
    };
    hooks.on_role_changed = [this](follow::relay_role role) {
        log_.write("store_role", {{"role", follow::to_string(role)}});
    };
    hooks.on_relay_lost = [this](const std::string& collection) {
        log_.write("relay_lost", {{"collection", collection}});
    };
    hooks.on_restored = [this](const std::string& collection,
                               std::uint64_t epoch, std::size_t lost_changes) {
        log_.write("store_restored",
                   {{"collection", collection},
                    {"epoch", std::to_string(epoch)},
                    {"lost_changes", std::to_string(lost_changes)}});
    };
    hooks.on_unreachable_changed = [this](const std::string& collection,
                                          bool away, const std::string& cause) {
        metrics_.set_store_unreachable(collection, away);
        log_.write(away ? "store_lost" : "store_back",
                   {{"collection", collection}, {"cause", cause}});
    };
    return hooks;
}

peer::control_hooks router::control_hooks()
{
    peer::control_hooks hooks;
    hooks.members_changed = [this](const peer::members_ptr& members) {
        on_members(members);
    };
    hooks.settings_changed = [](const auto&) {};
    hooks.reader_role_changed = [](bool) {};
    hooks.other_message_received = [this](const peer::peer_message& message) {
        on_peer_message(message);
    };
    return hooks;
}

void router::on_peer_message(const peer::peer_message& message)
{
    // What is lost to a full ring is made up for by the next report or query.
    if (const auto* report =
            std::get_if<dispatch::load_report>(&message.message))
        decide_duty_->post_state(
            dispatch::load_report_received{message.from, *report});
    else if (const auto* crashes =
                 std::get_if<dispatch::crash_report>(&message.message))
        static_cast<void>(
            decide_duty_->try_post(dispatch::crash_report_received{*crashes}));
    else if (const auto* notices =
                 std::get_if<dispatch::notice_report>(&message.message))
        static_cast<void>(
            decide_duty_->try_post(dispatch::notice_report_received{*notices}));
    else if (const auto* counts =
                 std::get_if<usage::usage_update>(&message.message)) {
        if (usage_)
            usage_->receive(core::boot_now(), message.from, *counts);
    } else if (const auto* query =
                   std::get_if<follow::view_query>(&message.message))
        static_cast<void>(store_duty_->post(
            follow::view_message_received{message.from, *query}));
    else if (const auto* update =
                 std::get_if<follow::view_update>(&message.message))
        static_cast<void>(store_duty_->post(
            follow::view_message_received{message.from, *update}));
}

void router::assign_relay_role(const std::vector<membership::member>& members)
{
    const auto fleet_size = static_cast<std::size_t>(
        std::ranges::count_if(members, membership::participates_in_gossip));
    const auto& membership_settings = settings_.control.membership;
    follow::relay_assignment assignment;
    if (fleet_size <= membership_settings.max_full_mesh_size) {
        assignment.role = follow::relay_role::independent;
    } else {
        assignment.watchers = membership::choose_region_watchers(
            members, settings_.location.region,
            membership_settings.links_to_watchers);
        const auto removed =
            std::erase(assignment.watchers, settings_.instance);
        assignment.role = removed > 0 ? follow::relay_role::watcher
                                      : follow::relay_role::follower;
    }
    if (!store_duty_->post(std::move(assignment)))
        log_.write("relay_role_not_told", {});
}

void router::on_settings(const follow::collection_view& view)
{
    const auto found = view.objects.find(settings_.settings_name);
    if (found == view.objects.end())
        return;
    auto parsed = hooks_.parse_routes(found->second.value);
    if (!parsed) {
        log_.write("settings_unreadable",
                   {{"revision", std::to_string(found->second.revision)},
                    {"epoch", std::to_string(view.epoch)}});
        return;
    }
    if (!routing::may_replace(
            route_table_ ? &route_table_->settings() : nullptr, *parsed)) {
        log_older_settings(parsed->version);
        return;
    }
    limits_.set(std::make_shared<const routing::caller_limits>(parsed->limits));
    route_table_ =
        std::make_shared<const routing::route_table>(std::move(*parsed));
    decide_duty_->post_state(dispatch::routes_changed{route_table_});
    post_sizing_input([table = route_table_](fleet_sizing& sizing) {
        sizing.set_services(table->settings().services);
    });
    has_routes_ = true;
    const auto& active = route_table_->settings();
    metrics_.set_settings_version(active.version);
    log_.write("settings_in_force",
               {{"version", std::to_string(active.version)},
                {"routes", std::to_string(active.routes.size())}});
}

void router::log_older_settings(std::uint64_t version)
{
    const std::uint64_t active = route_table_->settings().version;
    if (version != active)
        log_.write("older_settings_ignored",
                   {{"version", std::to_string(version)},
                    {"in_force", std::to_string(active)}});
}

void router::on_servers(const follow::collection_view& view)
{
    dispatch::servers_changed change = server_reader_.read(view);
    const auto draining_count = std::ranges::count_if(
        *change.servers, [](const auto& entry) { return entry.is_draining; });
    const auto ready_count =
        std::ranges::count_if(*change.servers, [&change](const auto& entry) {
            return !entry.is_draining &&
                   std::ranges::find(change.stale, entry.id) ==
                       change.stale.end();
        });
    const std::size_t stale_count = change.stale.size();
    metrics_.set_servers(static_cast<std::size_t>(ready_count),
                         static_cast<std::size_t>(draining_count), stale_count);
    log_.write("servers_known",
               {{"count", std::to_string(change.servers->size())},
                {"leaving", std::to_string(draining_count)},
                {"doubtful", std::to_string(stale_count)}});
    post_sizing_input([servers = change.servers](fleet_sizing& sizing) {
        sizing.set_servers(core::boot_now(), *servers);
    });
    decide_duty_->post_state(std::move(change));
    has_servers_ = true;
}

void router::on_instances(const std::vector<follow::stored_object>& objects)
{
    membership::platform_listed listed;
    for (const follow::stored_object& object : objects)
        if (auto member = hooks_.parse_member(object))
            listed.members.push_back(std::move(*member));
    remove_absent_instances(listed.members);
    control_duty_->post(std::move(listed));
}

void router::remove_absent_instances(
    const std::vector<membership::member>& listed)
{
    for (const core::instance_id& each :
         absent_detector_.update(core::monotonic_now(), settings_.instance,
                                 listed, *members_.get())) {
        log_.write("absent_instance_removed", {{"peer", each.value()}});
        store_duty_->remove(settings_.instances_collection, each.value());
    }
}

void router::on_members(const peer::members_ptr& members)
{
    log_member_changes(*members_.get(), *members);
    members_.set(members);
    assign_relay_role(*members);
    update_duty_candidate(*members);
    assign_usage_watchers(*members);
    post_sizing_input(
        [members](fleet_sizing& sizing) { sizing.set_members(*members); });
    std::vector<core::instance_id> participants;
    for (const membership::member& each : *members)
        if (membership::participates_in_gossip(each))
            participants.push_back(each.id);
    const auto participant_count =
        static_cast<std::uint32_t>(participants.size());
    metrics_.set_instances(participant_count);
    const std::uint32_t budget_share_count =
        peak_instance_count_.update(core::monotonic_now(), participant_count);
    decide_duty_->post_state(
        dispatch::fleet_changed{budget_share_count, std::move(participants)});
}

void router::log_member_changes(const std::vector<membership::member>& before,
                                const std::vector<membership::member>& after)
{
    const auto known_ids = [](const std::vector<membership::member>& members) {
        std::set<core::instance_id> ids;
        for (const membership::member& each : members)
            if (membership::is_known_by_gossip(each))
                ids.insert(each.id);
        return ids;
    };
    const auto ids_before = known_ids(before);
    const auto ids_after = known_ids(after);
    const auto log_missing = [this](std::string_view event, const auto& ids,
                                    const auto& others) {
        for (const core::instance_id& each : ids)
            if (!others.contains(each))
                log_.write(event, {{"peer", each.value()}});
    };
    log_missing("peer_lost", ids_before, ids_after);
    log_missing("peer_known", ids_after, ids_before);
}

void router::send_to_peers(const peer::message& message)
{
    if (!has_joined_)
        return;
    control_duty_->post(peer::message_to_peers{message});
}

void router::join_when_ready()
{
    if (!is_ready() || has_joined_)
        return;
    if (!std::exchange(has_logged_ready_, true))
        log_.write("ready", {});
    // Tried again with the next change in the store.
    has_joined_ = control_duty_->start();
    if (!has_joined_)
        log_.write("peers_not_listening", {});
}

membership::member router::self() const
{
    membership::member member;
    member.id = settings_.instance;
    member.incarnation = settings_.control.link.incarnation;
    member.caller_endpoint = settings_.forward.listen;
    member.peer_endpoint = settings_.control.link.listen;
    member.location = settings_.location;
    return member;
}

} // namespace oriolefall::router
