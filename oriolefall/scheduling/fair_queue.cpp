#include "oriolefall/scheduling/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::scheduling {

namespace {

/// Number of flows from which on a new one first tries to reset an empty queue.
constexpr std::size_t max_flows = 4096;

template <class Queues>
const waiting_request* earliest_of(const Queues& queues,
                                   std::optional<std::uint32_t> class_index)
{
    const waiting_request* first = nullptr;
    for (std::uint32_t i = 0; i < queues.size(); ++i) {
        if ((class_index && *class_index != i) || queues[i].empty())
            continue;
        const waiting_request& head = *queues[i].begin();
        if (first == nullptr || head < *first)
            first = &head;
    }
    return first;
}

} // namespace

void fair_queue::push(const core::workspace_id& workspace,
                      const waiting_request& item)
{
    flow& owner = flow_of(workspace);
    if (owner.size == 0) {
        owner.start_tag = std::max(owner.start_tag, virtual_time_);
        backlogged_.insert({owner.start_tag, owner.number});
    }
    if (owner.classes.size() <= item.class_index)
        owner.classes.resize(item.class_index + 1);
    owner.classes[item.class_index].insert(item);
    ++owner.size;
    owner.cost += item.cost;
    ++size_;
    cost_ += item.cost;
}

std::optional<waiting_request>
fair_queue::peek(std::optional<std::uint32_t> class_index) const
{
    for (const flow_key& key : backlogged_) {
        const auto* found =
            earliest_of(flows_[key.number].classes, class_index);
        if (found != nullptr)
            return *found;
    }
    return std::nullopt;
}

void fair_queue::pop(const core::workspace_id& workspace,
                     const waiting_request& item)
{
    flow& owner = flow_of(workspace);
    backlogged_.erase({owner.start_tag, owner.number});
    virtual_time_ = std::max(virtual_time_, owner.start_tag);
    owner.start_tag += item.cost;
    remove(owner, item);
    if (owner.size > 0)
        backlogged_.insert({owner.start_tag, owner.number});
}

void fair_queue::erase(const core::workspace_id& workspace,
                       const waiting_request& item)
{
    flow& owner = flow_of(workspace);
    remove(owner, item);
    if (owner.size == 0)
        backlogged_.erase({owner.start_tag, owner.number});
}

void fair_queue::adjust_charge(const core::workspace_id& workspace, double cost)
{
    flow& owner = flow_of(workspace);
    const bool is_waiting = owner.size > 0;
    if (is_waiting)
        backlogged_.erase({owner.start_tag, owner.number});
    owner.start_tag += cost;
    if (is_waiting)
        backlogged_.insert({owner.start_tag, owner.number});
}

std::optional<waiting_request>
fair_queue::newest_of_largest(std::uint32_t class_index) const
{
    const class_queue* largest = nullptr;
    for (const flow_key& key : backlogged_) {
        const flow& each = flows_[key.number];
        if (class_index >= each.classes.size())
            continue;
        const class_queue& queue = each.classes[class_index];
        if (largest == nullptr || queue.size() > largest->size())
            largest = &queue;
    }
    if (largest == nullptr || largest->empty())
        return std::nullopt;
    return *largest->rbegin();
}

double fair_queue::waiting_cost_of(const core::workspace_id& workspace) const
{
    const flow* found = find(workspace);
    return found == nullptr || found->size == 0 ? 0.0 : found->cost;
}

std::size_t fair_queue::size_of(const core::workspace_id& workspace,
                                std::uint32_t class_index) const
{
    const flow* found = find(workspace);
    if (found == nullptr || class_index >= found->classes.size())
        return 0;
    return found->classes[class_index].size();
}

fair_queue::flow& fair_queue::flow_of(const core::workspace_id& workspace)
{
    const auto found = flow_numbers_.find(workspace);
    if (found != flow_numbers_.end())
        return flows_[found->second];
    if (flows_.size() >= max_flows)
        reset_if_empty();
    const auto number = static_cast<std::uint32_t>(flows_.size());
    flow_numbers_.emplace(workspace, number);
    flow& created = flows_.emplace_back();
    created.number = number;
    created.start_tag = virtual_time_;
    return created;
}

const fair_queue::flow*
fair_queue::find(const core::workspace_id& workspace) const
{
    const auto found = flow_numbers_.find(workspace);
    return found == flow_numbers_.end() ? nullptr : &flows_[found->second];
}

void fair_queue::remove(flow& owner, const waiting_request& item)
{
    [[maybe_unused]] const std::size_t erased =
        owner.classes[item.class_index].erase(item);
    assert(erased == 1);
    --owner.size;
    owner.cost -= item.cost;
    --size_;
    cost_ -= item.cost;
}

void fair_queue::reset_if_empty()
{
    // Flow numbers can be reassigned only while no request is waiting.
    if (size_ > 0)
        return;
    flow_numbers_.clear();
    flows_.clear();
    virtual_time_ = 0.0;
}

} // namespace oriolefall::scheduling
