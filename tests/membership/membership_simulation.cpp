#include "membership_simulation.hpp"

#include <algorithm>
#include <variant>

namespace oriolefall::tests {

using namespace membership;

namespace {
constexpr absl::Duration time_step = absl::Milliseconds(500);

std::vector<member> all_except(std::vector<member> fleet, const member& self)
{
    std::erase_if(fleet,
                  [&self](const member& value) { return value.id == self.id; });
    return fleet;
}
} // namespace

membership_simulation::membership_simulation(std::vector<member> fleet,
                                             unsigned seed,
                                             membership_settings settings)
    : settings_(settings), random_(seed)
{
    for (const member& self : fleet) {
        index_[self.id] = nodes_.size();
        nodes_.push_back({.table = member_table(settings_, self),
                          .chosen_peers = {},
                          .last_members = {}});
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        step(i, platform_listed{all_except(fleet, fleet[i])});
}

void membership_simulation::run(absl::Duration duration)
{
    const absl::Time end = now_ + duration;
    while (now_ < end) {
        now_ += time_step;
        update_links();
        deliver();
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            step(i, tick{});
    }
}

void membership_simulation::set_loss_and_delay(double loss,
                                               absl::Duration max_delay)
{
    loss_ = loss;
    max_delay_ = max_delay;
}

void membership_simulation::partition(const std::vector<int>& side_of_instance)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        nodes_[i].side = side_of_instance[i];
}

void membership_simulation::pause(std::size_t instance, bool is_paused)
{
    nodes_[instance].is_paused = is_paused;
}

void membership_simulation::crash(std::size_t instance)
{
    nodes_[instance].is_crashed = true;
    update_links();
}

void membership_simulation::restart(std::size_t instance,
                                    const std::vector<member>& seeds)
{
    member self = nodes_[instance].table.self();
    self.incarnation += 1000;
    self.state = member_state::live;
    nodes_[instance] = {.table = member_table(settings_, self),
                        .chosen_peers = {},
                        .last_members = {}};
    step(instance, platform_listed{all_except(seeds, self)});
}

void membership_simulation::apply(std::size_t instance, const event& event)
{
    step(instance, event);
}

const member_table& membership_simulation::table(std::size_t instance) const
{
    return nodes_[instance].table;
}

std::size_t membership_simulation::size() const
{
    return nodes_.size();
}

bool membership_simulation::tables_agree() const
{
    std::set<std::uint64_t> digests;
    for (const node& node : nodes_) {
        if (!node.is_crashed)
            digests.insert(node.table.digest());
    }
    return digests.size() <= 1;
}

member_state membership_simulation::state_of(std::size_t instance,
                                             const core::instance_id& id) const
{
    const auto known = nodes_[instance].table.members();
    const auto found = std::ranges::find(known, id, &member::id);
    return found == known.end() ? member_state::dead : found->state;
}

std::size_t membership_simulation::regressions() const
{
    return regressions_;
}

void membership_simulation::step(std::size_t instance, const event& event)
{
    node& node = nodes_[instance];
    if (node.is_crashed || node.is_paused)
        return;
    std::vector<action> actions;
    node.table.step(now_, event, actions);
    for (const action& action : actions)
        carry_out(instance, action);
    count_regressions(node);
}

void membership_simulation::carry_out(std::size_t instance,
                                      const action& action)
{
    const core::instance_id& self = nodes_[instance].table.self().id;
    if (const auto* beat = std::get_if<send_heartbeat>(&action))
        send(instance, beat->to, heartbeat_received{self, beat->heartbeat});
    if (const auto* update = std::get_if<send_member_update>(&action))
        send(instance, update->to,
             member_update_received{self, update->members});
    if (const auto* buckets = std::get_if<send_buckets>(&action))
        send(instance, buckets->to, buckets_received{self, buckets->buckets});
    if (const auto* chosen = std::get_if<peers_chosen>(&action)) {
        nodes_[instance].chosen_peers.clear();
        for (const member& peer : chosen->peers)
            nodes_[instance].chosen_peers.insert(index_.at(peer.id));
    }
}

void membership_simulation::send(std::size_t from, const core::instance_id& to,
                                 event event)
{
    if (std::uniform_real_distribution<>(0, 1)(random_) < loss_)
        return;
    const double delay_factor = std::uniform_real_distribution<>(0, 1)(random_);
    in_transit_.emplace(now_ + delay_factor * max_delay_,
                        message{from, index_.at(to), std::move(event)});
}

void membership_simulation::deliver()
{
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
        const message next = in_transit_.begin()->second;
        in_transit_.erase(in_transit_.begin());
        if (can_reach(next.from, next.to) && !nodes_[next.to].is_paused)
            step(next.to, next.event);
    }
}

void membership_simulation::update_links()
{
    for (std::size_t first = 0; first < nodes_.size(); ++first) {
        for (std::size_t second = first + 1; second < nodes_.size(); ++second) {
            const bool is_chosen =
                nodes_[first].chosen_peers.contains(second) ||
                nodes_[second].chosen_peers.contains(first);
            const bool is_open = links_.contains({first, second});
            if (is_open == (is_chosen && can_reach(first, second)))
                continue;
            const auto& first_id = nodes_[first].table.self().id;
            const auto& second_id = nodes_[second].table.self().id;
            if (is_open) {
                links_.erase({first, second});
                step(first, link_closed{second_id});
                step(second, link_closed{first_id});
            } else if (!nodes_[first].is_paused && !nodes_[second].is_paused) {
                links_.insert({first, second});
                step(first, link_opened{second_id});
                step(second, link_opened{first_id});
            }
        }
    }
}

void membership_simulation::count_regressions(node& node)
{
    std::map<core::instance_id, member> next;
    for (const member& value : node.table.members()) {
        const auto previous = node.last_members.find(value.id);
        if (previous != node.last_members.end() &&
            supersedes(previous->second, value))
            ++regressions_;
        next.emplace(value.id, value);
    }
    node.last_members = std::move(next);
}

bool membership_simulation::can_reach(std::size_t first,
                                      std::size_t second) const
{
    return nodes_[first].side == nodes_[second].side &&
           !nodes_[first].is_crashed && !nodes_[second].is_crashed;
}

} // namespace oriolefall::tests
