#include "oriolefall/follow/store_duty.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::follow {

namespace {

constexpr unsigned status_not_found = 404;

/// A store that turns this instance away doesn't confirm anything.
bool shows_reachable_store(const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    return is_success(result) ||
           (answer != nullptr && answer->status == status_not_found);
}

std::chrono::milliseconds answer_timeout_of(const read_call& call,
                                            const store_duty_settings& settings)
{
    if (const auto* watch = std::get_if<watch_call>(&call))
        return absl::ToChronoMilliseconds(watch->timeout) +
               settings.watch_answer_timeout;
    return settings.answer_timeout;
}

} // namespace

store_duty::known_state::known_state(const collection_follower& follower)
    : is_unreachable(follower.is_unreachable()), epoch(follower.view().epoch),
      is_synced(follower.is_synced())
{
}

/// A followed collection with its connection and timers.
struct store_duty::followed_collection
{
    followed_collection(asio::io_context& context, const core::endpoint& store,
                        follower_settings settings)
        : name(settings.collection), follower(std::move(settings)),
          connection(std::make_shared<store_connection>(
              context, store, list_connection_settings)),
          call_timer(context), expiry_timer(context)
    {
    }

    std::string name;
    collection_follower follower;
    std::shared_ptr<store_connection> connection;
    asio::steady_timer call_timer;
    asio::steady_timer expiry_timer;
    bool is_calling = false;
};

store_duty::store_duty(store_duty_settings settings, store_protocol protocol,
                       store_duty_hooks hooks)
    : settings_(std::move(settings)), protocol_(std::move(protocol)),
      hooks_(std::move(hooks)),
      registration_(
          context_, settings_.store, settings_.registration, protocol_,
          {hooks_.on_listed,
           [this](bool is_unreachable, const std::string& cause) {
               hooks_.on_unreachable_changed(registration_.own().collection,
                                             is_unreachable, cause);
           }}),
      events_(settings_.ring_capacity), relay_timer_(context_),
      path_connection_(
          std::make_shared<store_connection>(context_, settings_.store))
{
}

store_duty::~store_duty()
{
    stop();
}

void store_duty::start(const own_object& own)
{
    for (const follower_settings& settings : settings_.followed_collections)
        followed_collections_.push_back(std::make_unique<followed_collection>(
            context_, settings_.store, settings));
    relay_.emplace(settings_.relay, settings_.initial_role, named_followers());
    asio::post(context_, [this, own] {
        for (const auto& collection : followed_collections_)
            start_next_call(*collection);
        registration_.start(own);
        schedule_relay_check();
    });
    thread_.emplace("store", [this] {
        const auto work = asio::make_work_guard(context_);
        context_.run();
    });
}

void store_duty::stop()
{
    context_.stop();
    thread_.reset();
}

bool store_duty::post(store_event event)
{
    if (!events_.try_push(std::move(event)))
        return false;
    if (!is_wakeup_pending_.exchange(true))
        asio::post(context_, [this] { process_events(); });
    return true;
}

void store_duty::process_events()
{
    is_wakeup_pending_ = false;
    std::vector<store_event> batch;
    events_.pop_some(batch, settings_.ring_capacity,
                     std::chrono::steady_clock::time_point{});
    for (const store_event& event : batch)
        std::visit([this](const auto& value) { on(value); }, event);
}

void store_duty::on(const relay_assignment& event)
{
    relay_->assign(core::monotonic_now(), event);
}

void store_duty::on(const view_message_received& event)
{
    std::visit(
        [&](const auto& message) { on_view_message(event.from, message); },
        event.message);
}

void store_duty::on_view_message(const core::instance_id& from,
                                 const view_query& query)
{
    hooks_.send(from, relay_->answer(core::monotonic_now(), query));
}

void store_duty::on_view_message(const core::instance_id& /*from*/,
                                 const view_update& update)
{
    const absl::Time now = core::monotonic_now();
    std::vector<known_state> before;
    std::ranges::transform(followed_collections_, std::back_inserter(before),
                           [](const auto& collection) {
                               return known_state(collection->follower);
                           });
    const std::vector<std::string> changed = relay_->on_update(now, update);
    for (std::size_t i = 0; i < followed_collections_.size(); ++i) {
        followed_collection& collection = *followed_collections_[i];
        const bool has_changed =
            std::ranges::find(changed, collection.name) != changed.end();
        report_changes(collection, before[i], has_changed);
    }
}

view_relay::named_followers store_duty::named_followers() const
{
    view_relay::named_followers followers;
    for (const auto& collection : followed_collections_)
        followers.emplace(collection->name, &collection->follower);
    return followers;
}

void store_duty::schedule_relay_check()
{
    relay_timer_.expires_after(settings_.relay_check_interval);
    relay_timer_.async_wait([this](const error_code& error) {
        if (!error)
            check_relay();
    });
}

void store_duty::check_relay()
{
    const absl::Time now = core::monotonic_now();
    if (relay_->update_role(now)) {
        hooks_.on_role_changed(relay_->role());
        for (const auto& collection : followed_collections_)
            start_next_call(*collection);
    }
    auto [to, query] = relay_->next_query(now);
    if (!to.value().empty())
        hooks_.send(to, std::move(query));
    if (relay_->role() == relay_role::watcher && now >= next_path_check_)
        check_path();
    schedule_relay_check();
}

void store_duty::check_path()
{
    if (std::exchange(is_checking_path_, true))
        return;
    const absl::Time sent_at = core::monotonic_now();
    next_path_check_ = sent_at + settings_.path_check_interval;
    store_request request = protocol_.check_path(registration_.own().collection,
                                                 registration_.own().name);
    request.timeout = settings_.answer_timeout;
    path_connection_->call(
        request, [this, sent_at](const store_result& result) {
            is_checking_path_ = false;
            if (!shows_reachable_store(result))
                return;
            const auto epoch = protocol_.epoch(std::get<store_answer>(result));
            for (const auto& collection : followed_collections_)
                collection->follower.on_path_confirmed(sent_at, epoch);
        });
}

void store_duty::start_next_call(followed_collection& collection)
{
    if (collection.is_calling)
        return;
    const auto [call, call_at] = collection.follower.next_call();
    const absl::Duration delay = call_at - core::monotonic_now();
    if (delay <= absl::ZeroDuration()) {
        send_call(collection, call);
        return;
    }
    collection.call_timer.expires_after(absl::ToChronoMilliseconds(delay) +
                                        std::chrono::milliseconds(1));
    collection.call_timer.async_wait(
        [this, &collection](const error_code& error) {
            if (!error)
                start_next_call(collection);
        });
}

void store_duty::send_call(followed_collection& collection,
                           const read_call& call)
{
    collection.call_timer.cancel();
    collection.is_calling = true;
    collection.follower.on_call_started(core::monotonic_now());
    if (relay_->role() == relay_role::follower &&
        std::holds_alternative<watch_call>(call))
        hooks_.on_relay_lost(collection.name);
    const store_request request{http::verb::get,
                                protocol_.target(call),
                                {},
                                answer_timeout_of(call, settings_)};
    collection.connection->call(
        request, [this, &collection, call](const store_result& result) {
            collection.is_calling = false;
            on_result(collection, call, result);
        });
}

void store_duty::on_result(followed_collection& collection,
                           const read_call& call, const store_result& result)
{
    const absl::Time now = core::monotonic_now();
    const auto [read_result, epoch] = read_answer(protocol_, call, result);
    const known_state before(collection.follower);
    const bool has_changed =
        collection.follower.on_result(now, read_result, epoch);
    report_changes(collection, before, has_changed);
}

void store_duty::report_changes(followed_collection& collection,
                                const known_state& before, bool has_changed)
{
    const bool is_unreachable = collection.follower.is_unreachable();
    if (is_unreachable != before.is_unreachable)
        hooks_.on_unreachable_changed(collection.name, is_unreachable,
                                      collection.follower.failure_cause());
    const collection_view& view = collection.follower.view();
    if (before.is_synced && view.epoch != before.epoch) {
        hooks_.on_restored(collection.name, view.epoch,
                           view.lost_changes.size());
        registration_.on_store_restored(view.epoch);
    }
    if (has_changed)
        hooks_.on_changed(collection.name, view);
    schedule_expiry(collection);
    start_next_call(collection);
}

void store_duty::schedule_expiry(followed_collection& collection)
{
    const absl::Time due = collection.follower.next_expiry();
    if (due == absl::InfiniteFuture())
        return;
    const absl::Duration remaining =
        std::max(due - core::monotonic_now(), absl::ZeroDuration());
    collection.expiry_timer.expires_after(
        absl::ToChronoMilliseconds(remaining) + std::chrono::milliseconds(1));
    collection.expiry_timer.async_wait(
        [this, &collection](const error_code& error) {
            if (error)
                return;
            if (collection.follower.expire(core::monotonic_now()))
                hooks_.on_changed(collection.name, collection.follower.view());
            schedule_expiry(collection);
        });
}

void store_duty::leave()
{
    asio::post(context_, [this] { registration_.leave(); });
}

void store_duty::remove(const std::string& collection, const std::string& name)
{
    asio::post(context_, [this, collection, name] {
        registration_.remove(collection, name);
    });
}

} // namespace oriolefall::follow
