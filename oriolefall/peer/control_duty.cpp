#include "oriolefall/peer/control_duty.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/membership/watcher_choice.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>

namespace oriolefall::peer {

namespace {
constexpr std::size_t max_batch = 256;

template <class Message>
constexpr bool is_settings_message = std::is_same_v<Message, settings_offer> ||
                                     std::is_same_v<Message, settings_fetch> ||
                                     std::is_same_v<Message, settings_answer>;
template <class Message>
constexpr bool is_membership_message =
    std::is_same_v<Message, membership::heartbeat> ||
    std::is_same_v<Message, member_update> ||
    std::is_same_v<Message, membership::member_buckets>;
} // namespace

control_duty::control_duty(control_settings settings, control_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      events_(settings_.ring_capacity),
      link_(settings_.link, [this](link_event event) {
          return events_.try_push(std::move(event));
      })
{
    assert(hooks_.members_changed && hooks_.settings_changed);
    assert(hooks_.reader_role_changed && hooks_.other_message_received);
}

control_duty::~control_duty()
{
    stop();
}

bool control_duty::start()
{
    assert(!table_);
    if (!link_.start())
        return false;
    const core::endpoint peers{settings_.link.listen.address, link_.port()};
    table_.emplace(settings_.membership,
                   membership::member{
                       settings_.link.self, settings_.link.incarnation,
                       membership::member_state::live,
                       settings_.caller_endpoint, peers, settings_.location});
    thread_.emplace("control", [this] { run(); });
    return true;
}

void control_duty::stop()
{
    link_.stop();
    events_.close();
    thread_.reset();
}

bool control_duty::post(control_event event)
{
    return events_.try_push(std::move(event));
}

std::uint16_t control_duty::port() const
{
    return link_.port();
}

link_counts control_duty::counts() const
{
    return link_.counts();
}

void control_duty::run()
{
    set_desired_peers({});
    std::vector<control_event> batch;
    while (events_.pop_some(batch, max_batch,
                            core::to_steady(table_->next_tick()))) {
        now_ = core::monotonic_now();
        for (const control_event& event : batch)
            apply(event);
        batch.clear();
        if (now_ >= table_->next_tick())
            tick();
        publish_members();
    }
}

void control_duty::tick()
{
    std::vector<exchange_action> out;
    exchange_.on_tick(now_, out);
    execute(out);
    step_table(membership::tick{});
}

void control_duty::apply(const control_event& event)
{
    std::visit([this](const auto& value) { on(value); }, event);
}

void control_duty::on(const link_event& event)
{
    std::visit([this](const auto& value) { on_link_event(value); }, event);
}

void control_duty::on(const settings_read& event)
{
    std::vector<exchange_action> out;
    exchange_.on_platform_read(event.objects, out);
    execute(out);
}

void control_duty::on(const membership::platform_listed& event)
{
    step_table(event);
}

void control_duty::on(const membership::leave_requested& event)
{
    step_table(event);
}

void control_duty::on(const outgoing_message& event)
{
    link_.send(event.to, event.message);
}

void control_duty::on(const message_to_peers& event)
{
    for (const core::instance_id& peer : linked_peers_)
        link_.send(peer, event.message);
}

void control_duty::on_link_event(const peer_opened& event)
{
    linked_peers_.insert(event.instance);
    has_member_changes_ = true;
    exchange_.on_peer_opened(event.instance);
    step_table(membership::link_opened{event.instance});
}

void control_duty::on_link_event(const peer_closed& event)
{
    linked_peers_.erase(event.instance);
    has_member_changes_ = true;
    exchange_.on_peer_closed(event.instance);
    step_table(membership::link_closed{event.instance});
}

void control_duty::on_link_event(const peer_message& event)
{
    std::visit(
        [&](const auto& value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (is_membership_message<type>)
                on_message(event.from, value);
            else if constexpr (is_settings_message<type>)
                on_settings(event.from, value);
            else
                hooks_.other_message_received(event);
        },
        event.message);
}

void control_duty::on_message(const core::instance_id& from,
                              const membership::heartbeat& value)
{
    std::vector<exchange_action> out;
    exchange_.on_heartbeat(from, value.settings_digest, out);
    execute(out);
    step_table(membership::heartbeat_received{from, value});
}

void control_duty::on_message(const core::instance_id& from,
                              const member_update& value)
{
    step_table(membership::member_update_received{from, value.members});
}

void control_duty::on_message(const core::instance_id& from,
                              const membership::member_buckets& value)
{
    step_table(membership::buckets_received{from, value});
}

template <class Message>
void control_duty::on_settings(const core::instance_id& from,
                               const Message& value)
{
    std::vector<exchange_action> out;
    exchange_.on_message(now_, from, value, out);
    execute(out);
}

void control_duty::step_table(const membership::event& event)
{
    actions_.clear();
    table_->step(now_, event, actions_);
    for (const membership::action& action : actions_)
        execute(action);
}

void control_duty::execute(const membership::action& action)
{
    if (const auto* heartbeat =
            std::get_if<membership::send_heartbeat>(&action))
        link_.send(heartbeat->to, heartbeat->heartbeat);
    else if (const auto* update =
                 std::get_if<membership::send_member_update>(&action))
        link_.send(update->to, member_update{update->members});
    else if (const auto* buckets =
                 std::get_if<membership::send_buckets>(&action))
        link_.send(buckets->to, buckets->buckets);
    else if (const auto* chosen =
                 std::get_if<membership::peers_chosen>(&action))
        set_desired_peers(chosen->peers);
    else
        has_member_changes_ = true;
}

void control_duty::execute(std::vector<exchange_action>& actions)
{
    std::vector<settings::tree_object> updated;
    for (exchange_action& action : actions) {
        if (auto* message = std::get_if<outgoing_message>(&action))
            link_.send(message->to, std::move(message->message));
        else
            updated.push_back(
                std::move(std::get<object_updated>(action).object));
    }
    if (updated.empty())
        return;
    step_table(membership::settings_applied{exchange_.replica().digest()});
    hooks_.settings_changed(updated);
}

/// Keeps connections to these peers, or to the seeds if there are none.
void control_duty::set_desired_peers(
    const std::vector<membership::member>& peers)
{
    std::vector<peer_address> addresses;
    std::ranges::transform(peers, std::back_inserter(addresses),
                           [](const membership::member& peer) {
                               return peer_address{peer.id, peer.peer_endpoint};
                           });
    if (addresses.empty())
        std::ranges::transform(settings_.seeds, std::back_inserter(addresses),
                               [](const core::endpoint& seed) {
                                   return peer_address{{}, seed};
                               });
    link_.set_peers(std::move(addresses));
}

void control_duty::publish_members()
{
    if (!std::exchange(has_member_changes_, false))
        return;
    update_reader_role();
    hooks_.members_changed(
        std::make_shared<const std::vector<membership::member>>(
            table_->members()));
}

/// An instance without open peer links always reads the platform itself.
void control_duty::update_reader_role()
{
    const std::vector<core::instance_id> readers = membership::choose_watchers(
        table_->members(), settings_.readers_per_domain);
    const bool is_reader =
        linked_peers_.empty() ||
        std::ranges::binary_search(readers, settings_.link.self);
    if (is_reader_ == is_reader)
        return;
    is_reader_ = is_reader;
    hooks_.reader_role_changed(is_reader);
}

} // namespace oriolefall::peer
