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
constexpr absl::Duration longest_wait = absl::Minutes(1);
/// Until an event that found no room is offered again.
constexpr absl::Duration redeliver_interval = absl::Milliseconds(20);
/// Stands before the address of a peer whose name is not known; no instance's
/// name holds it.
constexpr char seed_mark = '\n';

core::instance_id name_of(const peer_address& peer)
{
    if (!peer.instance.value().empty())
        return peer.instance;
    return core::instance_id(seed_mark + peer.endpoint.address + ':' +
                             std::to_string(peer.endpoint.port));
}

bool is_seed(const core::instance_id& name)
{
    return name.value().front() == seed_mark;
}
} // namespace

link_loop::link_loop(const link_settings& settings, unique_fd listener,
                     link_ring& commands, waker& wake, link_counters& counters,
                     link_hook hook)
    : settings_(settings), listener_(std::move(listener)), commands_(commands),
      wake_(wake), counters_(counters), hook_(std::move(hook)),
      random_(settings.seed)
{
}

void link_loop::run()
{
    while (true) {
        const absl::Time now = core::monotonic_now();
        if (!take_commands(now))
            return;
        dial_due(now);
        check_times(now);
        write_all();
        remove_ended(now);
        emit_undelivered();
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
        wake_.wake();
    return true;
}

void link_loop::apply(absl::Time /*now*/, const outgoing& command)
{
    const auto at = open_.find(command.to);
    if (at == open_.end()) {
        counters_.refused(refusal::not_connected);
        return;
    }
    if (connections_.at(at->second).value->send(encode(command.message)))
        counters_.message_sent();
    else
        counters_.refused(refusal::queue_full);
}

void link_loop::apply(absl::Time now, const wanted_peers& command)
{
    std::map<core::instance_id, wanted_peer> next;
    for (const peer_address& peer : command.peers) {
        const core::instance_id name = name_of(peer);
        const auto held = wanted_.find(name);
        if (held != wanted_.end() && held->second.endpoint == peer.endpoint) {
            next.emplace(held->first, held->second);
            continue;
        }
        const bool yields = !is_seed(name) && name < settings_.self;
        next.emplace(
            name,
            wanted_peer{peer.endpoint,
                        {settings_.first_backoff, settings_.longest_backoff},
                        yields ? now + settings_.yield_time : now});
    }
    wanted_ = std::move(next);
    for (auto& [id, held] : connections_) {
        if (held.value->role() == proof_role::dialer &&
            !wanted_.contains(held.wanted))
            held.value->end(refusal::connection_lost);
    }
}

void link_loop::dial_due(absl::Time now)
{
    for (auto& [id, peer] : wanted_) {
        if (!peer.is_dialing && !open_.contains(id) && now >= peer.dial_at)
            dial(now, id, peer);
    }
}

void link_loop::dial(absl::Time now, const core::instance_id& to,
                     wanted_peer& peer)
{
    std::optional<unique_fd> fd = begin_connect(peer.endpoint);
    if (!fd) {
        counters_.refused(refusal::connect_failed);
        peer.dial_at = now + peer.backoff.after_failure(random_);
        return;
    }
    peer.is_dialing = true;
    add(std::move(*fd), proof_role::dialer, to, now);
}

void link_loop::accept_all(absl::Time now)
{
    while (std::optional<unique_fd> fd = accept_from(listener_)) {
        const auto accepted =
            std::ranges::count_if(connections_, [](const auto& entry) {
                return entry.second.value->role() == proof_role::acceptor;
            });
        if (static_cast<std::size_t>(accepted) >= settings_.max_accepted) {
            counters_.refused(refusal::connection_limit);
            continue;
        }
        add(std::move(*fd), proof_role::acceptor, {}, now);
    }
}

void link_loop::add(unique_fd fd, proof_role role,
                    const core::instance_id& wanted, absl::Time now)
{
    auto value =
        std::make_unique<connection>(std::move(fd), role, settings_, now);
    connections_.emplace(next_id_++, held_connection{std::move(value), wanted});
}

void link_loop::write_all()
{
    for (auto& [id, held] : connections_)
        held.value->write(counters_);
}

void link_loop::check_times(absl::Time now)
{
    for (auto& [id, held] : connections_)
        held.value->check_time(now);
}

/// A connection is open: it becomes the one to its peer, unless the one that
/// there is goes before it.
void link_loop::announce(connection_id id, held_connection& opened)
{
    connection& next = *opened.value;
    const core::instance_id peer(next.peer().instance);
    const bool is_dialer = next.role() == proof_role::dialer;
    const bool is_other =
        is_dialer && !is_seed(opened.wanted) && peer != opened.wanted;
    if (peer == settings_.self || is_other) {
        next.end(refusal::unexpected_instance);
        return;
    }
    const auto at = open_.find(peer);
    if (at != open_.end()) {
        held_connection& held = connections_.at(at->second);
        if (!goes_before(next, *held.value)) {
            next.end(refusal::duplicate);
            return;
        }
        held.value->end(refusal::duplicate);
        held.is_announced = false;
        emit_closed(peer, refusal::duplicate);
    }
    opened.is_announced = true;
    open_[peer] = id;
    counters_.opened();
    if (!hook_(peer_opened{peer, next.peer().incarnation, next.version()}))
        next.end(refusal::ring_full);
}

/// Both ends choose alike: the later incarnation, then of two connections that
/// the same end dialed the later one, else the one that the lower name dialed.
bool link_loop::goes_before(const connection& next,
                            const connection& held) const
{
    if (next.peer().incarnation != held.peer().incarnation)
        return next.peer().incarnation > held.peer().incarnation;
    if (next.role() == held.role())
        return true;
    const bool is_lower = settings_.self.value() < next.peer().instance;
    return (next.role() == proof_role::dialer) == is_lower;
}

void link_loop::receive(held_connection& from)
{
    const core::instance_id peer(from.value->peer().instance);
    for (const std::string& record : from.value->take_records()) {
        auto decoded = decode(record);
        if (const auto* why = std::get_if<refusal>(&decoded)) {
            if (*why == refusal::malformed)
                from.value->end(*why);
            else
                counters_.refused(*why);
            continue;
        }
        counters_.message_received();
        peer_message event{peer, std::get<message>(std::move(decoded))};
        if (!hook_(std::move(event)))
            counters_.refused(refusal::ring_full);
        const auto wanted = wanted_.find(peer);
        if (wanted != wanted_.end())
            wanted->second.backoff.reset();
    }
}

void link_loop::remove_ended(absl::Time now)
{
    for (const auto& [id, held] : connections_) {
        if (held.value->fault())
            on_ended(now, id, held);
    }
    std::erase_if(connections_, [](const auto& entry) {
        return entry.second.value->fault().has_value();
    });
}

void link_loop::on_ended(absl::Time now, connection_id id,
                         const held_connection& ended)
{
    const refusal why = ended.value->fault().value();
    counters_.refused(why);
    const core::instance_id peer(ended.value->peer().instance);
    const auto at = open_.find(peer);
    if (ended.is_announced && at != open_.end() && at->second == id) {
        open_.erase(at);
        emit_closed(peer, why);
    }
    const bool is_dialer = ended.value->role() == proof_role::dialer;
    const auto wanted = wanted_.find(is_dialer ? ended.wanted : peer);
    if (wanted == wanted_.end())
        return;
    if (is_dialer)
        wanted->second.is_dialing = false;
    wanted->second.dial_at =
        now + wanted->second.backoff.after_failure(random_);
}

void link_loop::emit_closed(const core::instance_id& peer, refusal why)
{
    peer_closed event{peer, why};
    if (!undelivered_.empty() || !hook_(event))
        undelivered_.push_back(std::move(event));
}

void link_loop::emit_undelivered()
{
    const auto rest = std::ranges::find_if_not(
        undelivered_, [this](const auto& event) { return hook_(event); });
    undelivered_.erase(undelivered_.begin(), rest);
}

void link_loop::wait()
{
    polled_.clear();
    polled_.push_back({wake_.fd(), POLLIN, 0});
    polled_.push_back({listener_.get(), POLLIN, 0});
    for (const auto& [id, held] : connections_) {
        const bool wants_write = held.value->wants_write();
        const auto events =
            static_cast<short>(wants_write ? POLLIN | POLLOUT : POLLIN);
        polled_.push_back({held.value->fd(), events, 0});
    }
    const absl::Duration time =
        std::clamp(next_deadline() - core::monotonic_now(),
                   absl::ZeroDuration(), longest_wait);
    const auto milliseconds = static_cast<int>(
        absl::ToInt64Milliseconds(absl::Ceil(time, absl::Milliseconds(1))));
    if (poll(polled_.data(), polled_.size(), milliseconds) > 0)
        handle_ready(core::monotonic_now());
}

void link_loop::handle_ready(absl::Time now)
{
    if (polled_[0].revents != 0)
        wake_.reset();
    auto ready = polled_.begin() + 2;
    for (auto& [id, held] : connections_) {
        if (((ready++)->revents & ~POLLOUT) == 0)
            continue;
        held.value->read(now, counters_);
        if (!held.is_announced && held.value->is_open())
            announce(id, held);
        if (held.is_announced)
            receive(held);
    }
    if (polled_[1].revents != 0)
        accept_all(now);
}

absl::Time link_loop::next_deadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [id, held] : connections_)
        next = std::min(next, held.value->next_check());
    for (const auto& [id, peer] : wanted_) {
        if (!peer.is_dialing && !open_.contains(id))
            next = std::min(next, peer.dial_at);
    }
    if (!undelivered_.empty())
        next = std::min(next, core::monotonic_now() + redeliver_interval);
    return next;
}

} // namespace oriolefall::peer
