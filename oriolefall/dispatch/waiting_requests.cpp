#include "oriolefall/dispatch/waiting_requests.hpp"

#include <algorithm>
#include <cassert>
#include <ranges>

namespace oriolefall::dispatch {

namespace {

/// Part of a turn that each waiting tier earns when a more urgent request is
/// sent.
constexpr double turns_per_send = 0.05;
/// Rounding of twenty such parts must not delay the turn.
constexpr double whole_turn = 1 - 1e-9;
/// Requests next to their last start that are checked at once.
constexpr std::size_t checked_by_last_start = 4;
/// Requests without work would not move the fair share.
constexpr double min_cost = 0.001;

scheduling::waiting_request order_key(const queued_request& request)
{
    return {request.latest_start, request.id, 0, request.cost};
}

} // namespace

void waiting_requests::push(absl::Time now, queued_request request)
{
    assert(request.tier < tier_count);
    estimate_.advance(now, waiting_tiers());
    request.cost = std::max(request.cost, min_cost);
    tier_queue& tier = tiers_.at(request.tier);
    tier.order.push(request.workspace, order_key(request));
    workspace_work& work = tier.work[request.workspace];
    work.queued += request.cost;
    ++work.size;
    by_last_start_.emplace(request.last_start, request.id.value());
    const std::uint64_t id = request.id.value();
    [[maybe_unused]] const bool is_new =
        entries_.emplace(id, entry{std::move(request), work.queued}).second;
    assert(is_new);
}

bool waiting_requests::erase(absl::Time now, core::request_id id)
{
    const auto found = entries_.find(id.value());
    if (found == entries_.end())
        return false;
    estimate_.advance(now, waiting_tiers());
    const queued_request& request = found->second.request;
    tiers_.at(request.tier).order.erase(request.workspace, order_key(request));
    forget(found->second);
    return true;
}

void waiting_requests::pop(absl::Time now, core::request_id id)
{
    const auto found = entries_.find(id.value());
    assert(found != entries_.end());
    estimate_.advance(now, waiting_tiers());
    const queued_request& request = found->second.request;
    tier_queue& tier = tiers_.at(request.tier);
    const auto* urgent = most_urgent();
    if (urgent != nullptr && urgent->tier < request.tier)
        tier.earned_turns = std::max(tier.earned_turns - 1, 0.0);
    record_sent_past(request.tier);
    estimate_.record_sent(now, request.tier, request.cost);
    tier.order.pop(request.workspace, order_key(request));
    forget(found->second);
}

void waiting_requests::record_sent_past(std::uint32_t tier)
{
    for (tier_queue& each : tiers_ | std::views::drop(tier + 1))
        if (!each.order.empty())
            each.earned_turns =
                std::min(each.earned_turns + turns_per_send, 1.0);
}

void waiting_requests::forget(const entry& removed)
{
    const queued_request& request = removed.request;
    tier_queue& tier = tiers_.at(request.tier);
    const auto work = tier.work.find(request.workspace);
    // Without the newest request the others have the same work ahead; without
    // another one the later ones have less.
    if (removed.queued_work + min_cost / 2 >= work->second.queued)
        work->second.queued -= request.cost;
    else
        work->second.left += request.cost;
    if (--work->second.size == 0)
        tier.work.erase(work);
    if (tier.order.empty())
        tier.earned_turns = 0;
    const std::uint64_t id = request.id.value();
    by_last_start_.erase({request.last_start, id});
    entries_.erase(id);
}

const queued_request* waiting_requests::most_urgent() const
{
    const auto found = std::ranges::find_if(
        tiers_, [](const tier_queue& each) { return !each.order.empty(); });
    return found == tiers_.end() ? nullptr : head_of(*found);
}

const queued_request* waiting_requests::due_by_share() const
{
    const auto found = std::ranges::find_if(tiers_, [](const tier_queue& each) {
        return each.earned_turns >= whole_turn;
    });
    return found == tiers_.end() ? nullptr : head_of(*found);
}

const queued_request* waiting_requests::hopeless(absl::Time now) const
{
    for (const tier_queue& each : tiers_ | std::views::reverse) {
        const auto last = each.order.newest_of_largest(0);
        if (!last)
            continue;
        const queued_request& request = entries_.at(last->id.value()).request;
        if (is_hopeless(now, request))
            return &request;
    }
    for (const auto& [last_start, id] :
         by_last_start_ | std::views::take(checked_by_last_start)) {
        const queued_request& request = entries_.at(id).request;
        if (is_hopeless(now, request))
            return &request;
    }
    return nullptr;
}

bool waiting_requests::is_hopeless(absl::Time now,
                                   const queued_request& request) const
{
    const bool waits = entries_.contains(request.id.value());
    const absl::Duration wait = expected_wait(now, request);
    // Without history and before it waits nothing is known against it.
    return (waits || wait > absl::ZeroDuration()) &&
           now + wait > request.last_start;
}

absl::Duration
waiting_requests::expected_wait(absl::Time now,
                                const queued_request& request) const
{
    const double in_tier = work_ahead(request);
    return estimate_.wait_for(now, request.tier,
                              work_before(request.tier) + in_tier, in_tier,
                              std::max(request.cost, min_cost));
}

absl::Duration waiting_requests::drain_time(absl::Time now, std::uint32_t tier,
                                            double cost) const
{
    cost = std::max(cost, min_cost);
    const double in_tier = tiers_.at(tier).order.cost() + cost;
    return estimate_.wait_for(now, tier, work_before(tier) + in_tier, in_tier,
                              cost);
}

double waiting_requests::work_ahead(const queued_request& request) const
{
    const tier_queue& tier = tiers_.at(request.tier);
    const double cost = std::max(request.cost, min_cost);
    const double own =
        std::max(tier.order.waiting_cost_of(request.workspace), 0.0);
    const auto waits = entries_.find(request.id.value());
    if (waits == entries_.end()) {
        const bool is_known = tier.work.contains(request.workspace);
        const auto workspaces = static_cast<double>(
            tier.order.waiting_workspaces() + (is_known ? 0 : 1));
        return std::min((own + cost) * workspaces, tier.order.cost() + cost);
    }
    const double ahead =
        waits->second.queued_work - tier.work.at(request.workspace).left;
    return std::min(std::clamp(ahead, cost, std::max(own, cost)) *
                        static_cast<double>(tier.order.waiting_workspaces()),
                    tier.order.cost());
}

double waiting_requests::work_before(std::uint32_t tier) const
{
    double sum = 0;
    for (const tier_queue& each : tiers_ | std::views::take(tier))
        sum += each.order.cost();
    return sum;
}

std::uint32_t waiting_requests::waiting_tiers() const
{
    std::uint32_t tiers = 0;
    for (std::uint32_t i = 0; i < tier_count; ++i)
        if (!tiers_[i].order.empty())
            tiers |= 1U << i;
    return tiers;
}

const queued_request* waiting_requests::head_of(const tier_queue& tier) const
{
    const auto head = tier.order.peek();
    return head ? &entries_.at(head->id.value()).request : nullptr;
}

std::size_t waiting_requests::size_up_to(std::uint32_t tier) const
{
    std::size_t sum = 0;
    for (const tier_queue& each : tiers_ | std::views::take(tier + 1))
        sum += each.order.size();
    return sum;
}

std::size_t waiting_requests::size() const
{
    return entries_.size();
}

bool waiting_requests::empty() const
{
    return entries_.empty();
}

} // namespace oriolefall::dispatch
