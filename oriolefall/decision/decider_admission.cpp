// Admission of the decider: bounds of the queues and the estimated wait.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>

namespace oriolefall::decision {

std::optional<decider::refusal>
decider::admit(absl::Time now, const open_request& request, actions& out)
{
    const class_record& record = classes_.at(request.class_index);
    const queue_settings& bounds = settings_.queue;
    const bool full =
        record.waiting >= bounds.max_requests ||
        record.waiting_bytes + request.request.body_bytes > bounds.max_bytes;
    if (full && !make_room(request, out)) {
        const fair_queue& tier = routes_[request.route].queue.of(request.tier);
        const std::size_t own =
            tier.size_of(request.request.workspace, request.class_index);
        const bool over = own * tier.workspaces() >= record.waiting;
        return refusal{over && tier.workspaces() > 1
                           ? core::reason::workspace_over_share
                           : core::reason::queue_full,
                       settings_.admission.least_retry_after};
    }
    return refuse_late(now, request);
}

bool decider::make_room(const open_request& request, actions& out)
{
    const fair_queue& tier = routes_[request.route].queue.of(request.tier);
    const auto victim = tier.newest_of_largest(request.class_index);
    if (!victim)
        return false;
    open_request& last = *requests_.at(victim->id);
    const std::size_t largest =
        tier.size_of(last.request.workspace, request.class_index);
    const std::size_t own =
        tier.size_of(request.request.workspace, request.class_index);
    const class_record& record = classes_.at(request.class_index);
    const bool fits = record.waiting_bytes - last.request.body_bytes +
                          request.request.body_bytes <=
                      settings_.queue.max_bytes;
    if (own + 1 >= largest || !fits || last.attempts > 0)
        return false;
    refuse(last,
           {core::reason::workspace_over_share,
            settings_.admission.least_retry_after},
           out);
    return true;
}

std::optional<decider::refusal>
decider::refuse_late(absl::Time now, const open_request& request)
{
    const admission_settings& rules = settings_.admission;
    const route& servers = servers_.route_at(request.route);
    const absl::Duration near_wait = estimate_wait(now, request, servers.near);
    const double slack =
        request.tier == core::tier::interactive ? 1.0 : rules.lower_tier_slack;
    const absl::Duration allowed = (request.place.due - now) * slack;
    if (near_wait <= allowed)
        return std::nullopt;
    const absl::Duration wait =
        estimate_wait(now, request, servers.near + servers.far);
    if (wait <= allowed) {
        ++routes_[request.route].crossings;
        return std::nullopt;
    }
    // One of each class may always wait, so that none is shut out for good.
    if (classes_.at(request.class_index).waiting == 0)
        return std::nullopt;
    return refusal{core::reason::estimated_late,
                   std::clamp(wait - allowed, rules.least_retry_after,
                              rules.most_retry_after)};
}

absl::Duration decider::estimate_wait(absl::Time now,
                                      const open_request& request,
                                      const capacity& of)
{
    const route_work& work = routes_[request.route];
    const fair_queue& own_tier = work.queue.of(request.tier);
    admission_view view;
    view.tier = request.tier;
    view.slots = of.slots;
    view.free_slots = of.free_slots;
    view.hold_s = work.load.hold_s();
    view.higher_slots = work.load.higher_slots(now, request.tier);
    view.reserve = work.load.reserve(now, request.tier, of);
    view.minimum_share =
        classes_.at(request.class_index).settings.minimum_share;
    for (const core::tier tier : core::all_tiers)
        if (tier < request.tier)
            view.ahead_s += work.queue.of(tier).cost();
    // Under fair queueing others go first only as far as they ask for less
    // than this workspace has waiting.
    const double own = own_tier.cost_of(request.request.workspace);
    const double others = static_cast<double>(own_tier.workspaces());
    view.ahead_s +=
        std::min(own_tier.cost(), own + (own + request.place.cost) * others);
    return hooks_.admission_estimate(view);
}

} // namespace oriolefall::decision
