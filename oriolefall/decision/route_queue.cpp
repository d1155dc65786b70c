#include "oriolefall/decision/route_queue.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {

/// A share of 0 would let a class starve.
constexpr double least_share = 0.001;
/// Time of waiting over which the share of a class grows by `most_ageing`.
constexpr absl::Duration ageing_time = absl::Seconds(20);
constexpr double most_ageing = 0.5;
/// A class is owed at most this many times its next request.
constexpr double most_owed = 2.0;

std::size_t place_of(core::tier tier)
{
    return static_cast<std::size_t>(tier);
}

} // namespace

void route_queue::push(const queue_class& owner,
                       const core::workspace_id& workspace,
                       const waiting_request& item)
{
    start_waiting(owner);
    absl::Time& latest = latest_due_[place_of(owner.tier)];
    latest = std::max(latest, item.due);
    of(owner.tier).push(workspace, item);
}

void route_queue::erase(core::tier tier, const core::workspace_id& workspace,
                        const waiting_request& item)
{
    of(tier).erase(workspace, item);
    stop_waiting(item.class_index, tier);
}

void route_queue::pop(core::tier tier, const core::workspace_id& workspace,
                      const waiting_request& item, absl::Time now)
{
    of(tier).pop(workspace, item);
    stop_waiting(item.class_index, tier);
    settle(item.class_index, item.cost, now);
}

void route_queue::correct(core::tier tier, const core::workspace_id& workspace,
                          std::uint32_t class_index, double cost,
                          absl::Time now)
{
    of(tier).correct(workspace, cost);
    if (cost > 0.0)
        settle(class_index, cost, now);
}

void route_queue::push_resuming(const queue_class& owner,
                                const waiting_request& item)
{
    start_waiting(owner);
    resuming_[place_of(owner.tier)].insert(item);
}

void route_queue::erase_resuming(core::tier tier, const waiting_request& item)
{
    resuming_[place_of(tier)].erase(item);
    stop_waiting(item.class_index, tier);
}

void route_queue::pop_resuming(core::tier tier, const waiting_request& item,
                               absl::Time now)
{
    erase_resuming(tier, item);
    settle(item.class_index, item.cost, now);
}

std::optional<waiting_request>
route_queue::peek_resuming(core::tier tier,
                           std::optional<std::uint32_t> class_index) const
{
    const auto& waiting = resuming_[place_of(tier)];
    const auto found =
        std::ranges::find_if(waiting, [&](const waiting_request& each) {
            return !class_index || each.class_index == *class_index;
        });
    if (found == waiting.end())
        return std::nullopt;
    return *found;
}

std::optional<waiting_request> route_queue::peek(core::tier tier) const
{
    return of(tier).peek();
}

std::optional<waiting_request> route_queue::peek_lagging() const
{
    for (const share& each : shares_) {
        if (each.waiting == 0 || each.owed <= 0.0)
            continue;
        const auto next = next_of(each);
        if (next && each.owed >= next->cost)
            return next;
    }
    return std::nullopt;
}

bool route_queue::empty() const
{
    const auto nothing = [](const auto& waiting) { return waiting.empty(); };
    return std::ranges::all_of(tiers_, nothing) &&
           std::ranges::all_of(resuming_, nothing);
}

route_queue::share* route_queue::find_share(std::uint32_t class_index,
                                            core::tier tier)
{
    const auto found = std::ranges::find_if(shares_, [=](const share& each) {
        return each.owner.index == class_index && each.owner.tier == tier;
    });
    return found == shares_.end() ? nullptr : &*found;
}

void route_queue::start_waiting(const queue_class& owner)
{
    share* found = find_share(owner.index, owner.tier);
    if (found == nullptr)
        found = &shares_.emplace_back();
    found->owner = owner;
    ++found->waiting;
}

void route_queue::stop_waiting(std::uint32_t class_index, core::tier tier)
{
    share* found = find_share(class_index, tier);
    assert(found != nullptr && found->waiting > 0);
    --found->waiting;
    if (found->waiting == 0)
        found->waits_since = absl::InfiniteFuture();
}

std::optional<waiting_request> route_queue::next_of(const share& lagging) const
{
    const queue_class& owner = lagging.owner;
    const auto resuming = peek_resuming(owner.tier, owner.index);
    return resuming ? resuming : of(owner.tier).peek(owner.index);
}

void route_queue::settle(std::uint32_t served_class, double cost,
                         absl::Time now)
{
    for (share& each : shares_) {
        if (each.owner.index == served_class) {
            each.owed = std::max(0.0, each.owed - cost);
            each.waits_since = now;
            continue;
        }
        if (each.waiting == 0)
            continue;
        each.waits_since = std::min(each.waits_since, now);
        const double aged =
            absl::FDivDuration(now - each.waits_since, ageing_time);
        const double rate = std::max(each.owner.minimum_share, least_share) *
                            (1.0 + most_ageing * std::min(aged, 1.0));
        const double most = most_owed * std::max(cost, next_of(each)->cost);
        each.owed = std::min(most, each.owed + rate * cost);
    }
}

} // namespace oriolefall::decision
