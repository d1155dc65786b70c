// Admission: queue limits and the estimated wait.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>

namespace oriolefall::decision {

std::optional<decider::refusal>
decider::admit(absl::Time now, const open_request& request, actions& out)
{
    const class_record& record = classes_.at(request.class_index);
    const queue_settings& bounds = settings_.queue;
    const bool is_full =
        record.waiting_requests >= bounds.max_requests ||
        record.waiting_bytes + request.request.body_bytes > bounds.max_bytes;
    if (is_full && !evict_for(request, out)) {
        const scheduling::fair_queue& tier =
            routes_[request.route].queue.tier_queue(request.tier);
        const std::size_t own =
            tier.size_of(request.request.workspace, request.class_index);
        const bool is_over_share =
            own * tier.waiting_workspaces() >= record.waiting_requests;
        return refusal{is_over_share && tier.waiting_workspaces() > 1
                           ? core::reason::workspace_over_share
                           : core::reason::queue_full,
                       settings_.admission.min_retry_after};
    }
    return refuse_if_late(now, request);
}

bool decider::evict_for(const open_request& request, actions& out)
{
    const scheduling::fair_queue& tier =
        routes_[request.route].queue.tier_queue(request.tier);
    const auto newest = tier.newest_of_largest(request.class_index);
    if (!newest)
        return false;
    open_request& evicted = *requests_.at(newest->id);
    const std::size_t largest =
        tier.size_of(evicted.request.workspace, request.class_index);
    const std::size_t own =
        tier.size_of(request.request.workspace, request.class_index);
    const class_record& record = classes_.at(request.class_index);
    const bool would_fit = record.waiting_bytes - evicted.request.body_bytes +
                               request.request.body_bytes <=
                           settings_.queue.max_bytes;
    if (own + 1 >= largest || !would_fit || evicted.attempts > 0)
        return false;
    refuse(evicted,
           {core::reason::workspace_over_share,
            settings_.admission.min_retry_after},
           out);
    return true;
}

std::optional<decider::refusal>
decider::refuse_if_late(absl::Time now, const open_request& request)
{
    const admission_settings& rules = settings_.admission;
    const route& servers = servers_.route_at(request.route);
    const absl::Duration local_wait =
        estimate_wait(now, request, servers.local);
    const double wait_share = request.tier == core::tier::interactive
                                  ? 1.0
                                  : rules.lower_tier_wait_share;
    const absl::Duration allowed =
        (request.queue_entry.latest_start - now) * wait_share;
    if (local_wait <= allowed)
        return std::nullopt;
    const absl::Duration wait =
        estimate_wait(now, request, servers.local + servers.remote);
    if (wait <= allowed) {
        ++routes_[request.route].remote_allowance;
        return std::nullopt;
    }
    // One request of each class may always wait, so that no class is refused
    // permanently.
    if (classes_.at(request.class_index).waiting_requests == 0)
        return std::nullopt;
    return refusal{core::reason::estimated_late,
                   std::clamp(wait - allowed, rules.min_retry_after,
                              rules.max_retry_after)};
}

absl::Duration decider::estimate_wait(absl::Time now,
                                      const open_request& request,
                                      const capacity& available)
{
    const route_state& state = routes_[request.route];
    const scheduling::fair_queue& own_tier =
        state.queue.tier_queue(request.tier);
    admission_view view;
    view.tier = request.tier;
    view.slots = available.slots;
    view.free_slots = available.free_slots;
    view.service_time_s = state.load.service_time_s();
    view.higher_tier_slots = state.load.higher_tier_slots(now, request.tier);
    view.reserved_slots =
        state.load.reserved_slots(now, request.tier, available);
    view.minimum_share =
        classes_.at(request.class_index).settings.minimum_share;
    for (const core::tier tier : core::all_tiers)
        if (tier < request.tier)
            view.queued_ahead_s += state.queue.tier_queue(tier).cost();
    // Under fair queueing, another workspace is served before this one only up
    // to the cost that this workspace has waiting.
    const double own = own_tier.waiting_cost_of(request.request.workspace);
    const double others = static_cast<double>(own_tier.waiting_workspaces());
    view.queued_ahead_s += std::min(
        own_tier.cost(), own + (own + request.queue_entry.cost) * others);
    return hooks_.admission_estimate(view);
}

} // namespace oriolefall::decision
