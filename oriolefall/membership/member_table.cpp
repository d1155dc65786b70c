#include "oriolefall/membership/member_table.hpp"

#include "oriolefall/membership/peer_choice.hpp"
#include "oriolefall/membership/rendezvous.hpp"
#include "oriolefall/membership/watcher_choice.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>
#include <variant>

namespace oriolefall::membership {

namespace {
/// Consecutive heartbeats with a differing digest before buckets are compared:
/// a difference caused by updates in transit soon disappears by itself.
constexpr unsigned mismatch_limit = 3;

/// Of two sorted lists.
std::vector<core::instance_id>
union_of(const std::vector<core::instance_id>& one,
         const std::vector<core::instance_id>& other)
{
    std::vector<core::instance_id> all;
    std::ranges::set_union(one, other, std::back_inserter(all));
    return all;
}
} // namespace

member_table::member_table(const membership_settings& settings, member self)
    : settings_(settings), self_(std::move(self)),
      members_(settings.max_members), detector_(settings)
{
    assert(self_.incarnation > 0);
    assert(self_.state == member_state::live);
    members_.merge(absl::InfinitePast(), self_);
}

void member_table::step(absl::Time now, const event& event,
                        std::vector<action>& out)
{
    assert(now >= last_step_at_);
    discount_own_pause(now);
    std::visit([&](const auto& value) { on(now, value, out); }, event);
}

absl::Time member_table::next_tick() const
{
    return last_heartbeat_at_ + settings_.heartbeat_interval;
}

std::vector<member> member_table::members() const
{
    return members_.all();
}

const member& member_table::self() const
{
    return self_;
}

std::uint64_t member_table::digest() const
{
    return members_.digest();
}

void member_table::on(absl::Time now, const heartbeat_received& event,
                      std::vector<action>& out)
{
    const heartbeat& beat = event.heartbeat;
    detector_.record_message(now, event.from);
    const member* known = members_.find(event.from);
    if (known != nullptr) {
        const bool is_suspect_or_dead = known->state == member_state::suspect ||
                                        known->state == member_state::dead;
        if (known->incarnation > beat.incarnation ||
            (known->incarnation == beat.incarnation && is_suspect_or_dead))
            send_members(event.from, {*known}, out);
        if (known->incarnation == beat.incarnation)
            members_.record_heartbeat(event.from, beat.counter,
                                      beat.settings_digest);
    }
    compare_digest(event.from, beat.members_digest, out);
}

void member_table::on(absl::Time now, const member_update_received& event,
                      std::vector<action>& out)
{
    detector_.record_message(now, event.from);
    for (const member& received : event.members)
        merge(now, received);
    send_changes(event.from, out);
}

void member_table::on(absl::Time now, const buckets_received& event,
                      std::vector<action>& out)
{
    detector_.record_message(now, event.from);
    std::vector<member> differing;
    for (std::size_t i = 0; i < member_buckets::count; ++i) {
        if (event.buckets.digests[i] != members_.buckets().digests[i])
            std::ranges::move(members_.in_bucket(i),
                              std::back_inserter(differing));
    }
    send_members(event.from, differing, out);
}

void member_table::on(absl::Time now, const link_opened& event,
                      std::vector<action>& out)
{
    // On a new link, the first heartbeat with a differing digest is enough to
    // compare tables.
    links_[event.peer] = link{mismatch_limit - 1};
    detector_.record_message(now, event.peer);
    send_members(event.peer, {self_}, out);
    out.emplace_back(send_heartbeat{
        event.peer,
        {self_.incarnation, self_.heartbeat, self_.settings_digest, digest()}});
}

void member_table::on(absl::Time /*now*/, const link_closed& event,
                      std::vector<action>& /*out*/)
{
    links_.erase(event.peer);
}

void member_table::on(absl::Time now, const platform_listed& event,
                      std::vector<action>& out)
{
    for (member listed : event.members) {
        listed.incarnation = 0;
        if (listed.id != self_.id && members_.find(listed.id) == nullptr)
            merge(now, listed);
    }
    send_changes(self_.id, out);
}

void member_table::on(absl::Time /*now*/, const settings_applied& event,
                      std::vector<action>& /*out*/)
{
    self_.settings_digest = event.digest;
    members_.record_heartbeat(self_.id, self_.heartbeat, event.digest);
}

void member_table::on(absl::Time now, const leave_requested& /*event*/,
                      std::vector<action>& out)
{
    member next = self_;
    next.state = member_state::leaving;
    if (self_.state != member_state::leaving)
        update_self(now, std::move(next));
    send_changes(self_.id, out);
}

void member_table::on(absl::Time now, const tick& /*event*/,
                      std::vector<action>& out)
{
    suspect_overdue_peers(now);
    declare_dead(now);
    remove_dead(now, out);
    send_changes(self_.id, out);
    if (now >= next_tick()) {
        last_heartbeat_at_ = now;
        send_heartbeats(out);
    }
    update_peers(now, out);
}

/// Does not count the time in which this instance was paused towards the
/// timeouts of others.
void member_table::discount_own_pause(absl::Time now)
{
    const absl::Duration since_last_step = now - last_step_at_;
    const bool has_earlier_step = last_step_at_ > absl::InfinitePast();
    last_step_at_ = now;
    if (!has_earlier_step || since_last_step <= settings_.pause_threshold)
        return;
    detector_.extend_deadlines(since_last_step);
    members_.postpone_state_times(since_last_step);
}

void member_table::merge(absl::Time now, const member& received)
{
    if (received.id == self_.id) {
        refute(now, received);
        return;
    }
    const auto replaced = members_.merge(now, received);
    if (!replaced)
        return;
    if (*replaced && (*replaced)->incarnation < received.incarnation)
        detector_.record_refutation(now, received.id);
    changed_.push_back(*members_.find(received.id));
    is_choice_outdated_ = true;
}

/// Raises the own incarnation when others hold a wrong state of this instance.
void member_table::refute(absl::Time now, const member& received)
{
    if (!supersedes(received, self_))
        return;
    member next = self_;
    next.incarnation = received.incarnation + 1;
    update_self(now, std::move(next));
}

void member_table::update_self(absl::Time now, member next)
{
    self_ = std::move(next);
    members_.merge(now, self_);
    changed_.push_back(self_);
}

void member_table::suspect_overdue_peers(absl::Time now)
{
    for (const core::instance_id& id : detector_.overdue_peers(now)) {
        const member* known = members_.find(id);
        if (known != nullptr && known->state == member_state::live)
            set_state(now, *known, member_state::suspect);
    }
}

void member_table::declare_dead(absl::Time now)
{
    const absl::Time limit = now - settings_.suspicion_timeout;
    for (const member& suspected :
         members_.in_state_since(member_state::suspect, limit))
        set_state(now, suspected, member_state::dead);
    for (const core::instance_id& id : detector_.overdue_peers(limit)) {
        const member* known = members_.find(id);
        if (known != nullptr && known->state == member_state::leaving)
            set_state(now, *known, member_state::dead);
    }
}

void member_table::set_state(absl::Time now, member value, member_state state)
{
    value.state = state;
    merge(now, value);
}

void member_table::remove_dead(absl::Time now, std::vector<action>& out)
{
    for (const core::instance_id& id :
         members_.remove_dead(now - settings_.tombstone_lifetime))
        out.emplace_back(member_forgotten{id});
}

void member_table::compare_digest(const core::instance_id& peer,
                                  std::uint64_t digest,
                                  std::vector<action>& out)
{
    const auto found = links_.find(peer);
    if (found == links_.end())
        return;
    unsigned& mismatches = found->second.mismatches;
    mismatches = digest == members_.digest() ? 0 : mismatches + 1;
    if (mismatches < mismatch_limit)
        return;
    mismatches = 0;
    out.emplace_back(send_buckets{peer, members_.buckets()});
}

void member_table::send_heartbeats(std::vector<action>& out)
{
    ++self_.heartbeat;
    members_.record_heartbeat(self_.id, self_.heartbeat, self_.settings_digest);
    const heartbeat beat{self_.incarnation, self_.heartbeat,
                         self_.settings_digest, digest()};
    for (const auto& [id, link] : links_)
        out.emplace_back(send_heartbeat{id, beat});
}

void member_table::send_changes(const core::instance_id& source,
                                std::vector<action>& out)
{
    if (changed_.empty())
        return;
    const std::vector<member> changed = std::exchange(changed_, {});
    for (const member& value : changed)
        out.emplace_back(member_changed{value});
    for (const auto& [id, link] : links_) {
        if (id != source)
            send_members(id, changed, out);
    }
    const bool is_self_changed =
        std::ranges::find(changed, self_.id, &member::id) != changed.end();
    if (is_self_changed && source != self_.id)
        send_members(source, {self_}, out);
}

void member_table::send_members(const core::instance_id& to,
                                const std::vector<member>& members,
                                std::vector<action>& out) const
{
    for (std::size_t from = 0; from < members.size();
         from += settings_.max_members_per_message) {
        const std::size_t end =
            std::min(from + settings_.max_members_per_message, members.size());
        std::vector<member> part(
            members.begin() + static_cast<std::ptrdiff_t>(from),
            members.begin() + static_cast<std::ptrdiff_t>(end));
        out.emplace_back(send_member_update{to, std::move(part)});
    }
}

/// Chooses the peers again when members have changed, or when the time has
/// come to probe another dead one.
void member_table::update_peers(absl::Time now, std::vector<action>& out)
{
    const std::int64_t current_round =
        (now - absl::UnixEpoch()) / settings_.probe_interval;
    if (!is_choice_outdated_ && current_round == probe_round_)
        return;
    is_choice_outdated_ = false;
    probe_round_ = current_round;

    const std::vector<member> known = members_.all();
    const std::vector<core::instance_id> monitored = monitored_peers(known);
    detector_.monitor(now, monitored);
    std::vector<member> peers = probe_target(known);
    std::ranges::transform(
        monitored, std::back_inserter(peers),
        [this](const core::instance_id& id) { return *members_.find(id); });
    for (member& value : peers)
        value.heartbeat = value.settings_digest = 0;
    if (peers == peers_)
        return;
    peers_ = std::move(peers);
    out.emplace_back(peers_chosen{peers_});
}

std::vector<core::instance_id>
member_table::all_others(const std::vector<member>& known) const
{
    std::vector<core::instance_id> others;
    for (const member& value : known)
        if (participates_in_gossip(value) && value.id != self_.id)
            others.push_back(value.id);
    std::ranges::sort(others);
    return others;
}

/// The peers chosen among all members, and those that would be chosen without
/// the suspected ones: when a whole failure domain is lost, its next members
/// are monitored while the first ones can still refute. The watchers of the
/// own region are always among them.
std::vector<core::instance_id>
member_table::monitored_peers(const std::vector<member>& known) const
{
    const std::size_t links = settings_.links_between_groups;
    if (known.size() <= settings_.max_full_mesh_size)
        return all_others(known);
    std::vector<member> unsuspected;
    std::ranges::copy_if(known, std::back_inserter(unsuspected),
                         [](const member& value) {
                             return value.state != member_state::suspect;
                         });
    auto chosen = choose_peers(self_, known, links);
    if (unsuspected.size() != known.size())
        chosen = union_of(chosen, choose_peers(self_, unsuspected, links));
    auto watchers = choose_region_watchers(known, self_.location.region,
                                           settings_.links_to_watchers);
    std::erase(watchers, self_.id);
    return union_of(chosen, watchers);
}

/// The dead member to connect to in this round, since a partition may have
/// healed; empty when there is no dead member.
std::vector<member>
member_table::probe_target(const std::vector<member>& known) const
{
    std::vector<member> dead;
    std::ranges::remove_copy_if(known, std::back_inserter(dead),
                                participates_in_gossip);
    if (dead.empty())
        return {};
    const std::uint64_t start = rendezvous_weight("probe", self_.id.value());
    const auto current_round = static_cast<std::uint64_t>(probe_round_);
    return {dead[(start + current_round) % dead.size()]};
}

} // namespace oriolefall::membership
