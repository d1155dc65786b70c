// Queues and placement of the decider.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {

/// How soon free slots that are kept for higher tiers are looked at again.
constexpr absl::Duration recheck_interval = absl::Milliseconds(50);
/// Silence limit of a class without a latency target, as part of its
/// deadline.
constexpr double silence_of_deadline = 0.25;

} // namespace

queue_class decider::queue_class_of(const open_request& request) const
{
    const class_record& record = classes_.at(request.class_index);
    return queue_class{request.class_index, request.tier,
                       record.settings.minimum_share};
}

void decider::enqueue(open_request& request)
{
    request.state = request_state::queued;
    class_record& record = classes_.at(request.class_index);
    ++record.waiting;
    record.waiting_bytes += request.request.body_bytes;
    route_queue& queue = routes_[request.route].queue;
    if (request.resumes())
        queue.push_resuming(queue_class_of(request), request.place);
    else
        queue.push(queue_class_of(request), request.request.workspace,
                   request.place);
}

void decider::uncount(open_request& request)
{
    assert(request.state == request_state::queued);
    class_record& record = classes_.at(request.class_index);
    --record.waiting;
    record.waiting_bytes -= request.request.body_bytes;
}

void decider::leave_queue(open_request& request)
{
    uncount(request);
    request.state = request_state::arrived;
    route_queue& queue = routes_[request.route].queue;
    if (request.resumes())
        queue.erase_resuming(request.tier, request.place);
    else
        queue.erase(request.tier, request.request.workspace, request.place);
}

void decider::dispatch(absl::Time now, route_index route, actions& out)
{
    const std::vector<route_index>& group = servers_.group_of(route);
    for (const route_index each : group)
        place_lagging(now, each, out);
    for (const core::tier tier : core::all_tiers)
        for (const route_index each : group)
            place_tier(now, each, tier, out);
    for (const route_index each : group)
        if (routes_[each].queue.empty())
            routes_[each].crossings = 0;
}

void decider::place_lagging(absl::Time now, route_index route, actions& out)
{
    while (const auto next = routes_[route].queue.peek_lagging()) {
        open_request& request = *requests_.at(next->id);
        if (drop_late(now, request, out))
            continue;
        const std::size_t before = out.size();
        note(request, step_kind::share_granted, request.last_cause, out);
        if (!place(now, request, true, out)) {
            out.resize(before);
            return;
        }
    }
}

void decider::place_tier(absl::Time now, route_index route, core::tier tier,
                         actions& out)
{
    const route_queue& queue = routes_[route].queue;
    while (const auto next = queue.peek_resuming(tier))
        if (!place(now, *requests_.at(next->id), false, out))
            break;
    while (const auto next = queue.peek(tier)) {
        open_request& request = *requests_.at(next->id);
        if (!drop_late(now, request, out) && !place(now, request, false, out))
            return;
    }
}

bool decider::drop_late(absl::Time now, open_request& request, actions& out)
{
    if (request.attempts > 0 || now <= request.place.due)
        return false;
    const route_queue& queue = routes_[request.route].queue;
    const bool others_in_time = queue.of(request.tier).size() > 1 &&
                                queue.latest_due(request.tier) > now;
    if (!others_in_time)
        return false;
    refuse(
        request,
        {core::reason::estimated_late, settings_.admission.least_retry_after},
        out);
    return true;
}

bool decider::place(absl::Time now, open_request& request, bool may_use_reserve,
                    actions& out)
{
    const placement_need need{request.request, request.route, request.resumes(),
                              request.failed_at};
    if (may_use_near(now, request, may_use_reserve)) {
        const auto choice = placement_.choose(servers_, need, false, now);
        if (choice) {
            start(now, request, *choice, false, out);
            return true;
        }
    }
    if (!may_cross(now, request, may_use_reserve))
        return false;
    const auto choice = placement_.choose(servers_, need, true, now);
    if (!choice)
        return false;
    start(now, request, *choice, true, out);
    return true;
}

bool decider::may_use_near(absl::Time now, open_request& request,
                           bool may_use_reserve)
{
    const route& servers = servers_.route_at(request.route);
    if (servers.near_free.servers().empty())
        return false;
    return may_use_reserve || (!higher_held_back(request, false) &&
                               leaves_reserve(now, request, servers.near));
}

bool decider::may_cross(absl::Time now, const open_request& request,
                        bool may_use_reserve)
{
    const route& servers = servers_.route_at(request.route);
    if (servers.far_free.servers().empty())
        return false;
    const bool needed =
        servers.near.slots == 0 || routes_[request.route].crossings > 0 ||
        now >= request.place.due || is_behind(now, request, servers.near);
    return needed && (may_use_reserve || !higher_held_back(request, true)) &&
           (may_use_reserve ||
            leaves_reserve(now, request, servers.near + servers.far));
}

bool decider::higher_held_back(const open_request& request, bool far) const
{
    const bool any_pool = far || servers_.route_at(request.route).all_far;
    const auto holds_back = [&](route_index index) {
        const route& of = servers_.route_at(index);
        const bool could_run = !of.near_free.servers().empty() ||
                               (any_pool && !of.far_free.servers().empty());
        return could_run &&
               std::ranges::any_of(core::all_tiers, [&](core::tier tier) {
                   return tier < request.tier &&
                          !routes_[index].queue.of(tier).empty();
               });
    };
    return std::ranges::any_of(servers_.group_of(request.route), holds_back);
}

bool decider::is_behind(absl::Time now, const open_request& request,
                        const capacity& near) const
{
    const route_work& work = routes_[request.route];
    double waiting_s = 0.0;
    for (const core::tier tier : core::all_tiers)
        if (tier <= request.tier)
            waiting_s += work.queue.of(tier).cost();
    const double kept = work.load.reserve(now, request.tier, near);
    const double usable = std::max(near.slots - kept, 1.0);
    const absl::Duration left = work.queue.latest_due(request.tier) - now;
    return absl::Seconds(waiting_s / usable) > left;
}

bool decider::leaves_reserve(absl::Time now, const open_request& request,
                             const capacity& of)
{
    if (request.tier == core::tier::interactive)
        return true;
    const double kept =
        routes_[request.route].load.reserve(now, request.tier, of);
    if (of.free_slots > kept)
        return true;
    if (!recheck_set_)
        timers_.add(now + recheck_interval, dispatch_due{});
    recheck_set_ = true;
    return false;
}

void decider::start(absl::Time now, open_request& request,
                    const placement_choice& choice, bool far, actions& out)
{
    route_work& work = routes_[request.route];
    uncount(request);
    if (request.resumes())
        work.queue.pop_resuming(request.tier, request.place, now);
    else
        work.queue.pop(request.tier, request.request.workspace, request.place,
                       now);
    request.state = request_state::running;
    request.call = core::call_id(next_call_++);
    ++request.attempts;
    calls_.emplace(request.call, open_call{.owner = &request,
                                           .server = choice.server,
                                           .started = now,
                                           .last_byte = now,
                                           .tokens = request.delivered,
                                           .paid = far});
    if (far) {
        work.crossings -= work.crossings > 0 ? 1 : 0;
        ++figures_.cross_region_calls;
        figures_.paid_bytes += request.request.body_bytes;
    }
    servers_.call_started(choice.server, now);
    placement_.on_placed(servers_, request.request, choice.server, now);
    const bool streams = classes_.at(request.class_index).settings.kind ==
                         core::call_kind::generate;
    const core::backend_server_id& server =
        servers_.at(choice.server).server.id;
    out.emplace_back(decision_noted{.request = request.request.id,
                                    .kind = step_kind::placed,
                                    .server = server,
                                    .score = choice.score});
    out.emplace_back(start_call{.call = request.call,
                                .request = request.request.id,
                                .server = server,
                                .resume_from = request.delivered,
                                .priority = request.tier,
                                .silence_limit = silence_limit(request),
                                .deadline = streams && request.idempotent
                                                ? absl::InfiniteFuture()
                                                : request.deadline});
}

absl::Duration decider::silence_limit(const open_request& request) const
{
    const core::service_class& rules =
        classes_.at(request.class_index).settings;
    const absl::Duration target =
        std::min(rules.target.first_token, rules.target.whole_answer);
    if (target == absl::InfiniteDuration())
        return rules.deadline * silence_of_deadline;
    return target * (rules.idempotent ? settings_.retry.silence_share
                                      : settings_.retry.once_silence_share);
}

} // namespace oriolefall::decision
