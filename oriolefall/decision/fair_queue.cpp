#include "oriolefall/decision/fair_queue.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {

/// Flows kept before those that no longer matter are forgotten.
constexpr std::size_t most_flows = 4096;

template <class Queues>
const waiting_request* first_of(const Queues& queues,
                                std::optional<std::uint32_t> wanted)
{
    const waiting_request* first = nullptr;
    for (std::uint32_t i = 0; i < queues.size(); ++i) {
        if ((wanted && *wanted != i) || queues[i].empty())
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
    flow& to = flow_of(workspace);
    if (to.size == 0) {
        to.start = std::max(to.start, virtual_time_);
        order_.insert({to.start, to.number});
    }
    if (to.classes.size() <= item.class_index)
        to.classes.resize(item.class_index + 1);
    to.classes[item.class_index].insert(item);
    ++to.size;
    to.cost += item.cost;
    ++size_;
    cost_ += item.cost;
}

std::optional<waiting_request>
fair_queue::peek(std::optional<std::uint32_t> class_index) const
{
    for (const order_key& key : order_) {
        const auto* found = first_of(flows_[key.number].classes, class_index);
        if (found != nullptr)
            return *found;
    }
    return std::nullopt;
}

void fair_queue::pop(const core::workspace_id& workspace,
                     const waiting_request& item)
{
    flow& from = flow_of(workspace);
    order_.erase({from.start, from.number});
    virtual_time_ = std::max(virtual_time_, from.start);
    from.start += item.cost;
    remove(from, item);
    if (from.size > 0)
        order_.insert({from.start, from.number});
}

void fair_queue::erase(const core::workspace_id& workspace,
                       const waiting_request& item)
{
    flow& from = flow_of(workspace);
    remove(from, item);
    if (from.size == 0)
        order_.erase({from.start, from.number});
}

void fair_queue::correct(const core::workspace_id& workspace, double cost)
{
    flow& to = flow_of(workspace);
    const bool waits = to.size > 0;
    if (waits)
        order_.erase({to.start, to.number});
    to.start += cost;
    if (waits)
        order_.insert({to.start, to.number});
}

std::optional<waiting_request>
fair_queue::newest_of_largest(std::uint32_t class_index) const
{
    const class_queue* largest = nullptr;
    for (const order_key& key : order_) {
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

double fair_queue::cost_of(const core::workspace_id& workspace) const
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
    const auto found = numbers_.find(workspace);
    if (found != numbers_.end())
        return flows_[found->second];
    if (flows_.size() >= most_flows)
        forget_idle();
    const auto number = static_cast<std::uint32_t>(flows_.size());
    numbers_.emplace(workspace, number);
    flow& made = flows_.emplace_back();
    made.number = number;
    made.start = virtual_time_;
    return made;
}

const fair_queue::flow*
fair_queue::find(const core::workspace_id& workspace) const
{
    const auto found = numbers_.find(workspace);
    return found == numbers_.end() ? nullptr : &flows_[found->second];
}

void fair_queue::remove(flow& from, const waiting_request& item)
{
    [[maybe_unused]] const std::size_t erased =
        from.classes[item.class_index].erase(item);
    assert(erased == 1);
    --from.size;
    from.cost -= item.cost;
    --size_;
    cost_ -= item.cost;
}

void fair_queue::forget_idle()
{
    // Only when nothing waits are all numbers free to be given anew.
    if (size_ > 0)
        return;
    numbers_.clear();
    flows_.clear();
    virtual_time_ = 0.0;
}

} // namespace oriolefall::decision
