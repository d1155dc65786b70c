#include "oriolefall/decision/route_queue.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {

/// Minimum share of a class; with a share of 0 it would starve.
constexpr double min_share = 0.001;
/// Time without service over which the share of a class grows by up to
/// `max_ageing`.
constexpr absl::Duration ageing_time = absl::Seconds(20);
constexpr double max_ageing = 0.5;
/// Upper bound of a class's deficit, in multiples of its next request's cost.
constexpr double max_deficit_requests = 2.0;

std::size_t tier_index(core::tier tier)
{
    return static_cast<std::size_t>(tier);
}

} // namespace

void route_queue::push(const queue_class& owner,
                       const core::workspace_id& workspace,
                       const scheduling::waiting_request& item)
{
    add_waiting(owner);
    absl::Time& latest = max_latest_start_[tier_index(owner.tier)];
    latest = std::max(latest, item.latest_start);
    tier_queue(owner.tier).push(workspace, item);
}

void route_queue::erase(core::tier tier, const core::workspace_id& workspace,
                        const scheduling::waiting_request& item)
{
    tier_queue(tier).erase(workspace, item);
    remove_waiting(item.class_index, tier);
}

void route_queue::pop(core::tier tier, const core::workspace_id& workspace,
                      const scheduling::waiting_request& item, absl::Time now)
{
    tier_queue(tier).pop(workspace, item);
    remove_waiting(item.class_index, tier);
    update_deficits(item.class_index, item.cost, now);
}

void route_queue::adjust_charge(core::tier tier,
                                const core::workspace_id& workspace,
                                std::uint32_t class_index, double cost,
                                absl::Time now)
{
    tier_queue(tier).adjust_charge(workspace, cost);
    if (cost > 0.0)
        update_deficits(class_index, cost, now);
}

void route_queue::push_resuming(const queue_class& owner,
                                const scheduling::waiting_request& item)
{
    add_waiting(owner);
    resuming_[tier_index(owner.tier)].insert(item);
}

void route_queue::erase_resuming(core::tier tier,
                                 const scheduling::waiting_request& item)
{
    resuming_[tier_index(tier)].erase(item);
    remove_waiting(item.class_index, tier);
}

void route_queue::pop_resuming(core::tier tier,
                               const scheduling::waiting_request& item,
                               absl::Time now)
{
    erase_resuming(tier, item);
    update_deficits(item.class_index, item.cost, now);
}

std::optional<scheduling::waiting_request>
route_queue::peek_resuming(core::tier tier,
                           std::optional<std::uint32_t> class_index) const
{
    const auto& waiting = resuming_[tier_index(tier)];
    const auto found = std::ranges::find_if(
        waiting, [&](const scheduling::waiting_request& each) {
            return !class_index || each.class_index == *class_index;
        });
    if (found == waiting.end())
        return std::nullopt;
    return *found;
}

std::optional<scheduling::waiting_request>
route_queue::peek(core::tier tier) const
{
    return tier_queue(tier).peek();
}

std::optional<scheduling::waiting_request> route_queue::peek_underserved() const
{
    for (const class_share& each : shares_) {
        if (each.waiting == 0 || each.deficit <= 0.0)
            continue;
        const auto next = next_of(each);
        if (next && each.deficit >= next->cost)
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

route_queue::class_share* route_queue::find_share(std::uint32_t class_index,
                                                  core::tier tier)
{
    const auto found =
        std::ranges::find_if(shares_, [=](const class_share& each) {
            return each.owner.index == class_index && each.owner.tier == tier;
        });
    return found == shares_.end() ? nullptr : &*found;
}

void route_queue::add_waiting(const queue_class& owner)
{
    class_share* found = find_share(owner.index, owner.tier);
    if (found == nullptr)
        found = &shares_.emplace_back();
    found->owner = owner;
    ++found->waiting;
}

void route_queue::remove_waiting(std::uint32_t class_index, core::tier tier)
{
    class_share* found = find_share(class_index, tier);
    assert(found != nullptr && found->waiting > 0);
    --found->waiting;
    if (found->waiting == 0)
        found->waiting_since = absl::InfiniteFuture();
}

std::optional<scheduling::waiting_request>
route_queue::next_of(const class_share& underserved) const
{
    const queue_class& owner = underserved.owner;
    const auto resuming = peek_resuming(owner.tier, owner.index);
    return resuming ? resuming : tier_queue(owner.tier).peek(owner.index);
}

void route_queue::update_deficits(std::uint32_t served_class, double cost,
                                  absl::Time now)
{
    for (class_share& each : shares_) {
        if (each.owner.index == served_class) {
            each.deficit = std::max(0.0, each.deficit - cost);
            each.waiting_since = now;
            continue;
        }
        if (each.waiting == 0)
            continue;
        each.waiting_since = std::min(each.waiting_since, now);
        const double age_fraction =
            absl::FDivDuration(now - each.waiting_since, ageing_time);
        const double rate = std::max(each.owner.minimum_share, min_share) *
                            (1.0 + max_ageing * std::min(age_fraction, 1.0));
        const double max_deficit =
            max_deficit_requests * std::max(cost, next_of(each)->cost);
        each.deficit = std::min(max_deficit, each.deficit + rate * cost);
    }
}

} // namespace oriolefall::decision
