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
/// Time until an undelivered event is passed to the sink again.
constexpr absl::Duration redeliver_interval = absl::Milliseconds(20);
/// Prefix of the key of a peer whose instance is not known; its address
/// follows. No name of an instance contains this character.
constexpr char seed_key_prefix = '\n';

/// Key of a peer in the map of desired peers.
core::instance_id peer_key(const peer_address& peer)
{
    if (!peer.instance.value().empty())
        return peer.instance;
    return core::instance_id(seed_key_prefix + peer.endpoint.address + ':' +
                             std::to_string(peer.endpoint.port));
}

bool is_seed_key(const core::instance_id& key)
{
    return key.value().front() == seed_key_prefix;
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
        poll_connections();
    }
}

bool link_loop::take_commands(absl::Time now)
{
    batch_.clear();
    if (!commands_.pop_some(batch_, max_batch, core::to_steady(now)))
        return false;
    for (const link_command& command : batch_)
        std::visit([&](const auto& value) { apply(now, value); }, command);
    // Nobody wakes this thread again for what is still in a closed ring, nor
    // for its end.
    if (batch_.size() == max_batch || commands_.closed())
        waker_.wake();
    return true;
}

void link_loop::apply(absl::Time /*now*/, const outgoing_message& command)
{
    const auto active = active_connections_.find(command.to);
    if (active == active_connections_.end()) {
        counters_.count_refusal(refusal::not_connected);
        return;
    }
    if (connections_.at(active->second).value->send(encode(command.message)))
        counters_.count_message_sent();
    else
        counters_.count_refusal(refusal::queue_full);
}

void link_loop::apply(absl::Time now, const desired_peers& command)
{
    std::map<core::instance_id, desired_peer> updated;
    for (const peer_address& peer : command.peers) {
        const core::instance_id key = peer_key(peer);
        const auto known = desired_peers_.find(key);
        if (known != desired_peers_.end() &&
            known->second.endpoint == peer.endpoint) {
            updated.emplace(known->first, known->second);
            continue;
        }
        const bool is_delayed = !is_seed_key(key) && key < settings_.self;
        updated.emplace(
            key,
            desired_peer{peer.endpoint,
                         {settings_.initial_backoff, settings_.max_backoff},
                         is_delayed ? now + settings_.dial_delay : now});
    }
    desired_peers_ = std::move(updated);
    for (auto& [id, entry] : connections_) {
        if (entry.value->role() == connection_role::dialer &&
            !desired_peers_.contains(entry.dialed_peer))
            entry.value->close(refusal::connection_lost);
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
    add_connection(std::move(*fd), connection_role::dialer, to, now);
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
        add_connection(std::move(*fd), connection_role::acceptor, {}, now);
    }
}

void link_loop::add_connection(unique_fd fd, connection_role role,
                               const core::instance_id& dialed_peer,
                               absl::Time now)
{
    auto value =
        std::make_unique<connection>(std::move(fd), role, settings_, now);
    connections_.emplace(next_id_++,
                         connection_entry{std::move(value), dialed_peer});
}

void link_loop::write_all()
{
    for (auto& [id, entry] : connections_)
        entry.value->write(counters_);
}

void link_loop::check_timeouts(absl::Time now)
{
    for (auto& [id, entry] : connections_)
        entry.value->check_timeouts(now);
}

/// Makes an opened connection the active one of its peer, unless an existing
/// connection to that peer takes precedence.
void link_loop::on_opened(connection_id id, connection_entry& opened)
{
    connection& candidate = *opened.value;
    const core::instance_id peer(candidate.peer().instance);
    const bool is_dialer = candidate.role() == connection_role::dialer;
    const bool is_unexpected = is_dialer && !is_seed_key(opened.dialed_peer) &&
                               peer != opened.dialed_peer;
    if (peer == settings_.self || is_unexpected) {
        candidate.close(refusal::unexpected_instance);
        return;
    }
    const auto active = active_connections_.find(peer);
    if (active != active_connections_.end()) {
        connection_entry& existing = connections_.at(active->second);
        if (!takes_precedence(candidate, *existing.value)) {
            candidate.close(refusal::duplicate);
            return;
        }
        existing.value->close(refusal::duplicate);
        existing.is_active = false;
        report_closed(peer, refusal::duplicate);
    }
    opened.is_active = true;
    active_connections_[peer] = id;
    counters_.count_connection_opened();
    if (!event_sink_(peer_opened{peer, candidate.peer().incarnation,
                                 candidate.version()}))
        candidate.close(refusal::ring_full);
}

/// Chooses between two connections to the same peer, so that both ends choose
/// the same one: first the one with the higher incarnation of the peer; of two
/// dialed by the same end the later one; otherwise the one that was dialed by
/// the end with the lower name.
bool link_loop::takes_precedence(const connection& candidate,
                                 const connection& existing) const
{
    if (candidate.peer().incarnation != existing.peer().incarnation)
        return candidate.peer().incarnation > existing.peer().incarnation;
    if (candidate.role() == existing.role())
        return true;
    const bool has_lower_name =
        settings_.self.value() < candidate.peer().instance;
    return (candidate.role() == connection_role::dialer) == has_lower_name;
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
        const auto desired = desired_peers_.find(peer);
        if (desired != desired_peers_.end())
            desired->second.backoff.reset();
    }
}

void link_loop::remove_closed(absl::Time now)
{
    for (const auto& [id, entry] : connections_) {
        if (entry.value->close_reason())
            on_closed(now, id, entry);
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
    const auto active = active_connections_.find(peer);
    if (closed.is_active && active != active_connections_.end() &&
        active->second == id) {
        active_connections_.erase(active);
        report_closed(peer, reason);
    }
    const bool is_dialer = closed.value->role() == connection_role::dialer;
    const auto desired =
        desired_peers_.find(is_dialer ? closed.dialed_peer : peer);
    if (desired == desired_peers_.end())
        return;
    if (is_dialer)
        desired->second.is_dialing = false;
    desired->second.dial_at = now + desired->second.backoff.next_delay(random_);
}

void link_loop::report_closed(const core::instance_id& peer, refusal reason)
{
    peer_closed event{peer, reason};
    if (!undelivered_events_.empty() || !event_sink_(event))
        undelivered_events_.push_back(std::move(event));
}

void link_loop::redeliver_closed_events()
{
    const auto undelivered = std::ranges::find_if_not(
        undelivered_events_,
        [this](const auto& event) { return event_sink_(event); });
    undelivered_events_.erase(undelivered_events_.begin(), undelivered);
}

void link_loop::poll_connections()
{
    poll_fds_.clear();
    poll_fds_.push_back({waker_.fd(), POLLIN, 0});
    poll_fds_.push_back({listener_.get(), POLLIN, 0});
    for (const auto& [id, entry] : connections_) {
        const bool wants_write = entry.value->wants_write();
        const auto events =
            static_cast<short>(wants_write ? POLLIN | POLLOUT : POLLIN);
        poll_fds_.push_back({entry.value->fd(), events, 0});
    }
    const absl::Duration timeout =
        std::clamp(next_deadline() - core::monotonic_now(),
                   absl::ZeroDuration(), max_wait);
    const auto milliseconds = static_cast<int>(
        absl::ToInt64Milliseconds(absl::Ceil(timeout, absl::Milliseconds(1))));
    if (poll(poll_fds_.data(), poll_fds_.size(), milliseconds) > 0)
        handle_ready(core::monotonic_now());
}

void link_loop::handle_ready(absl::Time now)
{
    if (poll_fds_[0].revents != 0)
        waker_.reset();
    auto ready = poll_fds_.begin() + 2;
    for (auto& [id, entry] : connections_) {
        if (((ready++)->revents & ~POLLOUT) == 0)
            continue;
        entry.value->read(now, counters_);
        if (!entry.is_active && entry.value->is_open())
            on_opened(id, entry);
        if (entry.is_active)
            receive(entry);
    }
    if (poll_fds_[1].revents != 0)
        accept_all(now);
}

absl::Time link_loop::next_deadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [id, entry] : connections_)
        next = std::min(next, entry.value->next_timeout_check());
    for (const auto& [id, peer] : desired_peers_) {
        if (!peer.is_dialing && !active_connections_.contains(id))
            next = std::min(next, peer.dial_at);
    }
    if (!undelivered_events_.empty())
        next = std::min(next, core::monotonic_now() + redeliver_interval);
    return next;
}

} // namespace oriolefall::peer
