#include "network.hpp"

#include <algorithm>
#include <variant>

namespace oriolefall::tests {

using namespace membership;

namespace {
constexpr absl::Duration time_step = absl::Milliseconds(500);

std::vector<member> others_than(std::vector<member> fleet, const member& self)
{
    std::erase_if(fleet,
                  [&self](const member& value) { return value.id == self.id; });
    return fleet;
}
} // namespace

network::network(std::vector<member> fleet, unsigned seed,
                 membership_settings settings)
    : settings_(settings), random_(seed)
{
    for (const member& self : fleet) {
        index_[self.id] = nodes_.size();
        nodes_.push_back(
            {.table = member_table(settings_, self), .wanted = {}, .last = {}});
    }
    for (std::size_t at = 0; at < nodes_.size(); ++at)
        step(at, platform_listed{others_than(fleet, fleet[at])});
}

void network::run(absl::Duration time)
{
    const absl::Time end = now_ + time;
    while (now_ < end) {
        now_ += time_step;
        set_links();
        deliver();
        for (std::size_t at = 0; at < nodes_.size(); ++at)
            step(at, tick{});
    }
}

void network::disturb(double loss, absl::Duration longest_delay)
{
    loss_ = loss;
    longest_delay_ = longest_delay;
}

void network::partition(const std::vector<int>& side_of_instance)
{
    for (std::size_t at = 0; at < nodes_.size(); ++at)
        nodes_[at].side = side_of_instance[at];
}

void network::pause(std::size_t instance, bool paused)
{
    nodes_[instance].paused = paused;
}

void network::crash(std::size_t instance)
{
    nodes_[instance].crashed = true;
    set_links();
}

void network::restart(std::size_t instance, const std::vector<member>& seeds)
{
    member self = nodes_[instance].table.self();
    self.incarnation += 1000;
    self.state = member_state::live;
    nodes_[instance] = {
        .table = member_table(settings_, self), .wanted = {}, .last = {}};
    step(instance, platform_listed{others_than(seeds, self)});
}

void network::give(std::size_t instance, const event& event)
{
    step(instance, event);
}

const member_table& network::table(std::size_t instance) const
{
    return nodes_[instance].table;
}

std::size_t network::size() const
{
    return nodes_.size();
}

bool network::agrees() const
{
    std::set<std::uint64_t> digests;
    for (const node& at : nodes_) {
        if (!at.crashed)
            digests.insert(at.table.digest());
    }
    return digests.size() <= 1;
}

member_state network::state_of(std::size_t instance,
                               const core::instance_id& id) const
{
    const auto known = nodes_[instance].table.members();
    const auto at = std::ranges::find(known, id, &member::id);
    return at == known.end() ? member_state::dead : at->state;
}

std::size_t network::steps_back() const
{
    return steps_back_;
}

void network::step(std::size_t at, const event& event)
{
    node& here = nodes_[at];
    if (here.crashed || here.paused)
        return;
    std::vector<action> actions;
    here.table.step(now_, event, actions);
    for (const action& action : actions)
        act(at, action);
    check_progress(here);
}

void network::act(std::size_t at, const action& action)
{
    const core::instance_id& self = nodes_[at].table.self().id;
    if (const auto* beat = std::get_if<send_heartbeat>(&action))
        send(at, beat->to, heartbeat_received{self, beat->heartbeat});
    if (const auto* news = std::get_if<send_news>(&action))
        send(at, news->to, news_received{self, news->members});
    if (const auto* buckets = std::get_if<send_buckets>(&action))
        send(at, buckets->to, buckets_received{self, buckets->buckets});
    if (const auto* chosen = std::get_if<peers_chosen>(&action)) {
        nodes_[at].wanted.clear();
        for (const member& peer : chosen->peers)
            nodes_[at].wanted.insert(index_.at(peer.id));
    }
}

void network::send(std::size_t from, const core::instance_id& to, event event)
{
    if (std::uniform_real_distribution<>(0, 1)(random_) < loss_)
        return;
    const double part = std::uniform_real_distribution<>(0, 1)(random_);
    under_way_.emplace(now_ + part * longest_delay_,
                       message{from, index_.at(to), std::move(event)});
}

void network::deliver()
{
    while (!under_way_.empty() && under_way_.begin()->first <= now_) {
        const message next = under_way_.begin()->second;
        under_way_.erase(under_way_.begin());
        if (reach(next.from, next.to) && !nodes_[next.to].paused)
            step(next.to, next.event);
    }
}

void network::set_links()
{
    for (std::size_t one = 0; one < nodes_.size(); ++one) {
        for (std::size_t two = one + 1; two < nodes_.size(); ++two) {
            const bool is_wanted = nodes_[one].wanted.contains(two) ||
                                   nodes_[two].wanted.contains(one);
            const bool is_open = links_.contains({one, two});
            if (is_open == (is_wanted && reach(one, two)))
                continue;
            const auto& id_one = nodes_[one].table.self().id;
            const auto& id_two = nodes_[two].table.self().id;
            if (is_open) {
                links_.erase({one, two});
                step(one, link_closed{id_two});
                step(two, link_closed{id_one});
            } else if (!nodes_[one].paused && !nodes_[two].paused) {
                links_.insert({one, two});
                step(one, link_opened{id_two});
                step(two, link_opened{id_one});
            }
        }
    }
}

void network::check_progress(node& at)
{
    std::map<core::instance_id, member> next;
    for (const member& value : at.table.members()) {
        const auto held = at.last.find(value.id);
        if (held != at.last.end() && supersedes(held->second, value))
            ++steps_back_;
        next.emplace(value.id, value);
    }
    at.last = std::move(next);
}

bool network::reach(std::size_t one, std::size_t two) const
{
    return nodes_[one].side == nodes_[two].side && !nodes_[one].crashed &&
           !nodes_[two].crashed;
}

} // namespace oriolefall::tests
