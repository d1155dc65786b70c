#include "oriolefall/membership/member_table.hpp"

#include "oriolefall/membership/peer_choice.hpp"
#include "oriolefall/membership/rendezvous.hpp"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>
#include <variant>

namespace oriolefall::membership {

namespace {
/// Unlike digests in a row before buckets are compared: news under way makes
/// a difference that soon ends by itself.
constexpr unsigned mismatch_limit = 3;
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
    assert(now >= last_step_);
    excuse_own_pause(now);
    std::visit([&](const auto& value) { on(now, value, out); }, event);
}

absl::Time member_table::next_tick() const
{
    return last_heartbeat_ + settings_.heartbeat_interval;
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
    detector_.heard(now, event.from);
    const member* held = members_.find(event.from);
    if (held != nullptr) {
        const bool is_doubted = held->state == member_state::suspect ||
                                held->state == member_state::dead;
        if (held->incarnation > beat.incarnation ||
            (held->incarnation == beat.incarnation && is_doubted))
            tell(event.from, {*held}, out);
        if (held->incarnation == beat.incarnation)
            members_.note_heartbeat(event.from, beat.counter,
                                    beat.settings_digest);
    }
    compare_digest(event.from, beat.members_digest, out);
}

void member_table::on(absl::Time now, const news_received& event,
                      std::vector<action>& out)
{
    detector_.heard(now, event.from);
    for (const member& news : event.members)
        merge(now, news);
    tell_changes(event.from, out);
}

void member_table::on(absl::Time now, const buckets_received& event,
                      std::vector<action>& out)
{
    detector_.heard(now, event.from);
    std::vector<member> unlike;
    for (std::size_t at = 0; at < member_buckets::count; ++at) {
        if (event.buckets.digests[at] != members_.buckets().digests[at])
            std::ranges::move(members_.in_bucket(at),
                              std::back_inserter(unlike));
    }
    tell(event.from, unlike, out);
}

void member_table::on(absl::Time now, const link_opened& event,
                      std::vector<action>& out)
{
    // The first heartbeat with another digest is enough to compare tables.
    links_[event.peer] = link{mismatch_limit - 1};
    detector_.heard(now, event.peer);
    tell(event.peer, {self_}, out);
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
    tell_changes(self_.id, out);
}

void member_table::on(absl::Time /*now*/, const settings_applied& event,
                      std::vector<action>& /*out*/)
{
    self_.settings_digest = event.digest;
    members_.note_heartbeat(self_.id, self_.heartbeat, event.digest);
}

void member_table::on(absl::Time now, const leave_requested& /*event*/,
                      std::vector<action>& out)
{
    member next = self_;
    next.state = member_state::leaving;
    if (self_.state != member_state::leaving)
        change_self(now, std::move(next));
    tell_changes(self_.id, out);
}

void member_table::on(absl::Time now, const tick& /*event*/,
                      std::vector<action>& out)
{
    suspect_silent(now);
    declare_dead(now);
    forget(now, out);
    tell_changes(self_.id, out);
    if (now >= next_tick()) {
        last_heartbeat_ = now;
        send_heartbeats(out);
    }
    choose(now, out);
}

/// Time in which this instance did not run counts for nobody.
void member_table::excuse_own_pause(absl::Time now)
{
    const absl::Duration gap = now - last_step_;
    const bool has_run = last_step_ > absl::InfinitePast();
    last_step_ = now;
    if (!has_run || gap <= settings_.pause_limit)
        return;
    detector_.excuse(gap);
    members_.excuse(gap);
}

void member_table::merge(absl::Time now, const member& news)
{
    if (news.id == self_.id) {
        contradict(now, news);
        return;
    }
    const auto replaced = members_.merge(now, news);
    if (!replaced)
        return;
    if (*replaced && (*replaced)->incarnation < news.incarnation)
        detector_.contradicted(now, news.id);
    changed_.push_back(*members_.find(news.id));
    choice_is_old_ = true;
}

/// Others believe something else of this instance than it does.
void member_table::contradict(absl::Time now, const member& news)
{
    if (!supersedes(news, self_))
        return;
    member next = self_;
    next.incarnation = news.incarnation + 1;
    change_self(now, std::move(next));
}

void member_table::change_self(absl::Time now, member next)
{
    self_ = std::move(next);
    members_.merge(now, self_);
    changed_.push_back(self_);
}

void member_table::suspect_silent(absl::Time now)
{
    for (const core::instance_id& id : detector_.silent(now)) {
        const member* held = members_.find(id);
        if (held != nullptr && held->state == member_state::live)
            declare(now, *held, member_state::suspect);
    }
}

void member_table::declare_dead(absl::Time now)
{
    const absl::Time limit = now - settings_.dead_after;
    for (const member& held : members_.held_since(member_state::suspect, limit))
        declare(now, held, member_state::dead);
    for (const core::instance_id& id : detector_.silent(limit)) {
        const member* held = members_.find(id);
        if (held != nullptr && held->state == member_state::leaving)
            declare(now, *held, member_state::dead);
    }
}

void member_table::declare(absl::Time now, member value, member_state state)
{
    value.state = state;
    merge(now, value);
}

void member_table::forget(absl::Time now, std::vector<action>& out)
{
    for (const core::instance_id& id :
         members_.forget_dead(now - settings_.forget_after))
        out.emplace_back(member_forgotten{id});
}

void member_table::compare_digest(const core::instance_id& peer,
                                  std::uint64_t digest,
                                  std::vector<action>& out)
{
    const auto at = links_.find(peer);
    if (at == links_.end())
        return;
    unsigned& mismatches = at->second.mismatches;
    mismatches = digest == members_.digest() ? 0 : mismatches + 1;
    if (mismatches < mismatch_limit)
        return;
    mismatches = 0;
    out.emplace_back(send_buckets{peer, members_.buckets()});
}

void member_table::send_heartbeats(std::vector<action>& out)
{
    ++self_.heartbeat;
    members_.note_heartbeat(self_.id, self_.heartbeat, self_.settings_digest);
    const heartbeat beat{self_.incarnation, self_.heartbeat,
                         self_.settings_digest, digest()};
    for (const auto& [id, link] : links_)
        out.emplace_back(send_heartbeat{id, beat});
}

void member_table::tell_changes(const core::instance_id& source,
                                std::vector<action>& out)
{
    if (changed_.empty())
        return;
    const std::vector<member> news = std::exchange(changed_, {});
    for (const member& value : news)
        out.emplace_back(member_changed{value});
    for (const auto& [id, link] : links_) {
        if (id != source)
            tell(id, news, out);
    }
    const bool has_own =
        std::ranges::find(news, self_.id, &member::id) != news.end();
    if (has_own && source != self_.id)
        tell(source, {self_}, out);
}

void member_table::tell(const core::instance_id& to,
                        const std::vector<member>& news,
                        std::vector<action>& out) const
{
    for (std::size_t from = 0; from < news.size(); from += settings_.max_news) {
        const std::size_t end =
            std::min(from + settings_.max_news, news.size());
        std::vector<member> part(
            news.begin() + static_cast<std::ptrdiff_t>(from),
            news.begin() + static_cast<std::ptrdiff_t>(end));
        out.emplace_back(send_news{to, std::move(part)});
    }
}

/// Makes the choice of peers anew when the members have changed, or when it
/// is the turn of another dead one.
void member_table::choose(absl::Time now, std::vector<action>& out)
{
    const std::int64_t turn =
        (now - absl::UnixEpoch()) / settings_.probe_interval;
    if (!choice_is_old_ && turn == probe_turn_)
        return;
    choice_is_old_ = false;
    probe_turn_ = turn;

    const std::vector<member> known = members_.all();
    const std::vector<core::instance_id> chosen = chosen_among(known);
    detector_.watch(now, chosen);
    std::vector<member> wanted = probed(known);
    std::ranges::transform(
        chosen, std::back_inserter(wanted),
        [this](const core::instance_id& id) { return *members_.find(id); });
    for (member& value : wanted)
        value.heartbeat = value.settings_digest = 0;
    if (wanted == peers_)
        return;
    peers_ = std::move(wanted);
    out.emplace_back(peers_chosen{peers_});
}

std::vector<core::instance_id>
member_table::all_others(const std::vector<member>& known) const
{
    std::vector<core::instance_id> others;
    for (const member& value : known)
        if (takes_part(value) && value.id != self_.id)
            others.push_back(value.id);
    std::ranges::sort(others);
    return others;
}

/// The peers by the choice of all, and those that it would be without the
/// suspected ones: when a whole failure domain is lost, its next members are
/// listened for while the first still have time to contradict.
std::vector<core::instance_id>
member_table::chosen_among(const std::vector<member>& known) const
{
    const std::size_t links = settings_.links_between_groups;
    if (known.size() <= settings_.full_mesh_members)
        return all_others(known);
    std::vector<member> trusted;
    std::ranges::copy_if(known, std::back_inserter(trusted),
                         [](const member& value) {
                             return value.state != member_state::suspect;
                         });
    auto all = choose_peers(self_, known, links);
    if (trusted.size() == known.size())
        return all;
    const auto others = choose_peers(self_, trusted, links);
    std::vector<core::instance_id> chosen;
    std::ranges::set_union(all, others, std::back_inserter(chosen));
    return chosen;
}

/// The one of the dead that is tried this time: a partition may be over.
std::vector<member> member_table::probed(const std::vector<member>& known) const
{
    std::vector<member> dead;
    std::ranges::remove_copy_if(known, std::back_inserter(dead), takes_part);
    if (dead.empty())
        return {};
    const std::uint64_t start = rendezvous_weight("probe", self_.id.value());
    const auto turn = static_cast<std::uint64_t>(probe_turn_);
    return {dead[(start + turn) % dead.size()]};
}

} // namespace oriolefall::membership
