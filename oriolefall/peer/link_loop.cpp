#include "oriolefall/peer/link_loop.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/peer/codec.hpp"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <variant>

namespace oriolefall::peer {

namespace {
constexpr std::size_t max_batch = 256;
constexpr absl::Duration max_wait = absl::Minutes(1);
/// Until an event that found no room is offered again.
constexpr absl::Duration redeliver_interval = absl::Milliseconds(20);
/// Stands before the address of a peer whose name is not known; no instance's
/// name holds it.
constexpr char seed_key_prefix = '\n';

core::instance_id peer_key(const peer_address& peer)
{
    if (!peer.instance.value().empty())
        return peer.instance;
    return core::instance_id(seed_key_prefix + peer.endpoint.address + ':' +
                             std::to_string(peer.endpoint.port));
}

bool is_seed_key(const core::instance_id& name)
{
    return name.value().front() == seed_key_prefix;
}
} // namespace

link_loop::link_loop(const link_settings& settings, unique_fd listener,
                     link_ring& commands, waker& loop_waker,
                     link_counters& counters, link_event_sink event_sink)
    : settings_(settings), listener_(std::move(listener)), commands_(commands),
      waker_(loop_waker), counters_(counters),
      event_sink_(std::move(event_sink)), random_(settings.jitter_seed)
{
}

void link_loop::run()
{
    while (true) {
        const absl::Time now = core::monotonic_now();
        if (!take_commands(now))
            return;
        dial_due_peers(now);
        check_timeouts(now);
        write_all();
        remove_closed(now);
        redeliver_closed_events();
        wait();
    }
}

bool link_loop::take_commands(absl::Time now)
{
    batch_.clear();
    if (!commands_.pop_some(batch_, max_batch, core::to_steady(now)))
        return false;
    for (const link_command& command : batch_)
        std::visit([&](const auto& value) { apply(now, value); }, command);
    if (batch_.size() == max_batch)
        waker_.wake();
    return true;
}

void link_loop::apply(absl::Time /*now*/, const outgoing_message& command)
{
    const auto at = active_connections_.find(command.to);
    if (at == active_connections_.end()) {
        counters_.count_refusal(refusal::not_connected);
        return;
    }
    if (connections_.at(at->second).value->send(encode(command.message)))
        counters_.count_message_sent();
    else
        counters_.count_refusal(refusal::queue_full);
}

void link_loop::apply(absl::Time now, const desired_peers& command)
{
    std::map<core::instance_id, desired_peer> next;
    for (const peer_address& peer : command.peers) {
        const core::instance_id name = peer_key(peer);
        const auto held = desired_peers_.find(name);
        if (held != desired_peers_.end() &&
            held->second.endpoint == peer.endpoint) {
            next.emplace(held->first, held->second);
            continue;
        }
        const bool is_delayed = !is_seed_key(name) && name < settings_.self;
        next.emplace(
            name,
            desired_peer{peer.endpoint,
                         {settings_.initial_backoff, settings_.max_backoff},
                         is_delayed ? now + settings_.dial_delay : now});
    }
    desired_peers_ = std::move(next);
    for (auto& [id, held] : connections_) {
        if (held.value->role() == connection_role::dialer &&
            !desired_peers_.contains(held.wanted))
            held.value->close(refusal::connection_lost);
    }
}

void link_loop::dial_due_peers(absl::Time now)
{
    for (auto& [id, peer] : desired_peers_) {
        if (!peer.is_dialing && !active_connections_.contains(id) &&
            now >= peer.dial_at)
            dial(now, id, peer);
    }
}

void link_loop::dial(absl::Time now, const core::instance_id& to,
                     desired_peer& peer)
{
    std::optional<unique_fd> fd = begin_connect(peer.endpoint);
    if (!fd) {
        counters_.count_refusal(refusal::connect_failed);
        peer.dial_at = now + peer.backoff.next_delay(random_);
        return;
    }
    peer.is_dialing = true;
    add(std::move(*fd), connection_role::dialer, to, now);
}

void link_loop::accept_all(absl::Time now)
{
    while (std::optional<unique_fd> fd = accept_from(listener_)) {
        const auto accepted =
            std::ranges::count_if(connections_, [](const auto& entry) {
                return entry.second.value->role() == connection_role::acceptor;
            });
        if (static_cast<std::size_t>(accepted) >=
            settings_.max_accepted_connections) {
            counters_.count_refusal(refusal::connection_limit);
            continue;
        }
        add(std::move(*fd), connection_role::acceptor, {}, now);
    }
}

void link_loop::add(unique_fd fd, connection_role role,
                    const core::instance_id& wanted, absl::Time now)
{
    auto value =
        std::make_unique<connection>(std::move(fd), role, settings_, now);
    connections_.emplace(next_id_++,
                         connection_entry{std::move(value), wanted});
}

void link_loop::write_all()
{
    for (auto& [id, held] : connections_)
        held.value->write(counters_);
}

void link_loop::check_timeouts(absl::Time now)
{
    for (auto& [id, held] : connections_)
        held.value->check_timeouts(now);
}

/// A connection is open: it becomes the one to its peer, unless the one that
/// there is goes before it.
void link_loop::on_opened(connection_id id, connection_entry& opened)
{
    connection& next = *opened.value;
    const core::instance_id peer(next.peer().instance);
    const bool is_dialer = next.role() == connection_role::dialer;
    const bool is_unexpected =
        is_dialer && !is_seed_key(opened.wanted) && peer != opened.wanted;
    if (peer == settings_.self || is_unexpected) {
        next.close(refusal::unexpected_instance);
        return;
    }
    const auto at = active_connections_.find(peer);
    if (at != active_connections_.end()) {
        connection_entry& held = connections_.at(at->second);
        if (!takes_precedence(next, *held.value)) {
            next.close(refusal::duplicate);
            return;
        }
        held.value->close(refusal::duplicate);
        held.is_active = false;
        report_closed(peer, refusal::duplicate);
    }
    opened.is_active = true;
    active_connections_[peer] = id;
    counters_.count_connection_opened();
    if (!event_sink_(
            peer_opened{peer, next.peer().incarnation, next.version()}))
        next.close(refusal::ring_full);
}

/// Both ends choose alike: the later incarnation, then of two connections that
/// the same end dialed the later one, else the one that the lower name dialed.
bool link_loop::takes_precedence(const connection& next,
                                 const connection& held) const
{
    if (next.peer().incarnation != held.peer().incarnation)
        return next.peer().incarnation > held.peer().incarnation;
    if (next.role() == held.role())
        return true;
    const bool has_lower_name = settings_.self.value() < next.peer().instance;
    return (next.role() == connection_role::dialer) == has_lower_name;
}

void link_loop::receive(connection_entry& from)
{
    const core::instance_id peer(from.value->peer().instance);
    for (const std::string& record : from.value->take_records()) {
        auto decoded = decode(record);
        if (const auto* reason = std::get_if<refusal>(&decoded)) {
            if (*reason == refusal::malformed)
                from.value->close(*reason);
            else
                counters_.count_refusal(*reason);
            continue;
        }
        counters_.count_message_received();
        peer_message event{peer, std::get<message>(std::move(decoded))};
        if (!event_sink_(std::move(event)))
            counters_.count_refusal(refusal::ring_full);
        const auto wanted = desired_peers_.find(peer);
        if (wanted != desired_peers_.end())
            wanted->second.backoff.reset();
    }
}

void link_loop::remove_closed(absl::Time now)
{
    for (const auto& [id, held] : connections_) {
        if (held.value->close_reason())
            on_closed(now, id, held);
    }
    std::erase_if(connections_, [](const auto& entry) {
        return entry.second.value->close_reason().has_value();
    });
}

void link_loop::on_closed(absl::Time now, connection_id id,
                          const connection_entry& closed)
{
    const refusal reason = closed.value->close_reason().value();
    counters_.count_refusal(reason);
    const core::instance_id peer(closed.value->peer().instance);
    const auto at = active_connections_.find(peer);
    if (closed.is_active && at != active_connections_.end() &&
        at->second == id) {
        active_connections_.erase(at);
        report_closed(peer, reason);
    }
    const bool is_dialer = closed.value->role() == connection_role::dialer;
    const auto wanted = desired_peers_.find(is_dialer ? closed.wanted : peer);
    if (wanted == desired_peers_.end())
        return;
    if (is_dialer)
        wanted->second.is_dialing = false;
    wanted->second.dial_at = now + wanted->second.backoff.next_delay(random_);
}

void link_loop::report_closed(const core::instance_id& peer, refusal reason)
{
    peer_closed event{peer, reason};
    if (!undelivered_events_.empty() || !event_sink_(event))
        undelivered_events_.push_back(std::move(event));
}

void link_loop::redeliver_closed_events()
{
    const auto rest = std::ranges::find_if_not(
        undelivered_events_,
        [this](const auto& event) { return event_sink_(event); });
    undelivered_events_.erase(undelivered_events_.begin(), rest);
}

void link_loop::wait()
{
    poll_fds_.clear();
    poll_fds_.push_back({waker_.fd(), POLLIN, 0});
    poll_fds_.push_back({listener_.get(), POLLIN, 0});
    for (const auto& [id, held] : connections_) {
        const bool wants_write = held.value->wants_write();
        const auto events =
            static_cast<short>(wants_write ? POLLIN | POLLOUT : POLLIN);
        poll_fds_.push_back({held.value->fd(), events, 0});
    }
    const absl::Duration time =
        std::clamp(next_deadline() - core::monotonic_now(),
                   absl::ZeroDuration(), max_wait);
    const auto milliseconds = static_cast<int>(
        absl::ToInt64Milliseconds(absl::Ceil(time, absl::Milliseconds(1))));
    if (poll(poll_fds_.data(), poll_fds_.size(), milliseconds) > 0)
        handle_ready(core::monotonic_now());
}

void link_loop::handle_ready(absl::Time now)
{
    if (poll_fds_[0].revents != 0)
        waker_.reset();
    auto ready = poll_fds_.begin() + 2;
    for (auto& [id, held] : connections_) {
        if (((ready++)->revents & ~POLLOUT) == 0)
            continue;
        held.value->read(now, counters_);
        if (!held.is_active && held.value->is_open())
            on_opened(id, held);
        if (held.is_active)
            receive(held);
    }
    if (poll_fds_[1].revents != 0)
        accept_all(now);
}

absl::Time link_loop::next_deadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [id, held] : connections_)
        next = std::min(next, held.value->next_timeout_check());
    for (const auto& [id, peer] : desired_peers_) {
        if (!peer.is_dialing && !active_connections_.contains(id))
            next = std::min(next, peer.dial_at);
    }
    if (!undelivered_events_.empty())
        next = std::min(next, core::monotonic_now() + redeliver_interval);
    return next;
}

} // namespace oriolefall::peer
