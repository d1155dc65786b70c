// Queues, dispatch and placement.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>

namespace oriolefall::decision {

namespace {

/// Delay until free slots that are reserved for higher tiers are considered
/// again.
constexpr absl::Duration recheck_interval = absl::Milliseconds(50);
/// Gap timeout of a class without a latency target, as a share of its deadline.
constexpr double gap_timeout_deadline_share = 0.25;

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
    ++record.waiting_requests;
    record.waiting_bytes += request.request.body_bytes;
    route_queue& queue = routes_[request.route].queue;
    if (request.is_resuming())
        queue.push_resuming(queue_class_of(request), request.queue_entry);
    else
        queue.push(queue_class_of(request), request.request.workspace,
                   request.queue_entry);
}

void decider::remove_from_class_count(open_request& request)
{
    assert(request.state == request_state::queued);
    class_record& record = classes_.at(request.class_index);
    --record.waiting_requests;
    record.waiting_bytes -= request.request.body_bytes;
}

void decider::remove_from_queue(open_request& request)
{
    remove_from_class_count(request);
    request.state = request_state::arrived;
    route_queue& queue = routes_[request.route].queue;
    if (request.is_resuming())
        queue.erase_resuming(request.tier, request.queue_entry);
    else
        queue.erase(request.tier, request.request.workspace,
                    request.queue_entry);
}

void decider::dispatch(absl::Time now, route_index route, actions& out)
{
    const std::vector<route_index>& group = servers_.group_of(route);
    for (const route_index each : group)
        place_underserved(now, each, out);
    for (const core::tier tier : core::all_tiers)
        for (const route_index each : group)
            place_tier(now, each, tier, out);
    for (const route_index each : group)
        if (routes_[each].queue.empty())
            routes_[each].remote_allowance = 0;
}

void decider::place_underserved(absl::Time now, route_index route, actions& out)
{
    while (const auto next = routes_[route].queue.peek_underserved()) {
        open_request& request = *requests_.at(next->id);
        if (refuse_overdue(now, request, out))
            continue;
        const std::size_t actions_before = out.size();
        record_step(request, step_kind::share_granted, request.last_cause, out);
        if (!place(now, request, true, out)) {
            out.resize(actions_before);
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
        if (!refuse_overdue(now, request, out) &&
            !place(now, request, false, out))
            return;
    }
}

bool decider::refuse_overdue(absl::Time now, open_request& request,
                             actions& out)
{
    if (request.attempts > 0 || now <= request.queue_entry.latest_start)
        return false;
    const route_queue& queue = routes_[request.route].queue;
    const bool has_others_in_time = queue.tier_queue(request.tier).size() > 1 &&
                                    queue.max_latest_start(request.tier) > now;
    if (!has_others_in_time)
        return false;
    refuse(request,
           {core::reason::estimated_late, settings_.admission.min_retry_after},
           out);
    return true;
}

bool decider::place(absl::Time now, open_request& request, bool may_use_reserve,
                    actions& out)
{
    const placement_context context{request.request, request.route,
                                    request.is_resuming(),
                                    request.failed_server};
    if (may_use_local(now, request, may_use_reserve)) {
        const auto choice = placement_.choose(servers_, context, false, now);
        if (choice) {
            start(now, request, *choice, false, out);
            return true;
        }
    }
    if (!may_use_remote(now, request, may_use_reserve))
        return false;
    const auto choice = placement_.choose(servers_, context, true, now);
    if (!choice)
        return false;
    start(now, request, *choice, true, out);
    return true;
}

bool decider::may_use_local(absl::Time now, open_request& request,
                            bool may_use_reserve)
{
    const route& servers = servers_.route_at(request.route);
    if (servers.local_free.servers().empty())
        return false;
    return may_use_reserve || (!is_higher_tier_waiting(request, false) &&
                               keeps_reserve(now, request, servers.local));
}

bool decider::may_use_remote(absl::Time now, const open_request& request,
                             bool may_use_reserve)
{
    const route& servers = servers_.route_at(request.route);
    if (servers.remote_free.servers().empty())
        return false;
    const bool is_needed = servers.local.slots == 0 ||
                           routes_[request.route].remote_allowance > 0 ||
                           now >= request.queue_entry.latest_start ||
                           is_local_backlogged(now, request, servers.local);
    return is_needed &&
           (may_use_reserve || !is_higher_tier_waiting(request, true)) &&
           (may_use_reserve ||
            keeps_reserve(now, request, servers.local + servers.remote));
}

bool decider::is_higher_tier_waiting(const open_request& request,
                                     bool includes_remote) const
{
    const bool may_use_any =
        includes_remote || servers_.route_at(request.route).is_all_remote;
    const auto has_higher_tier_waiting = [&](route_index index) {
        const route& entry = servers_.route_at(index);
        const bool could_run =
            !entry.local_free.servers().empty() ||
            (may_use_any && !entry.remote_free.servers().empty());
        return could_run &&
               std::ranges::any_of(core::all_tiers, [&](core::tier tier) {
                   return tier < request.tier &&
                          !routes_[index].queue.tier_queue(tier).empty();
               });
    };
    return std::ranges::any_of(servers_.group_of(request.route),
                               has_higher_tier_waiting);
}

bool decider::is_local_backlogged(absl::Time now, const open_request& request,
                                  const capacity& local_servers) const
{
    const route_state& state = routes_[request.route];
    double waiting_s = 0.0;
    for (const core::tier tier : core::all_tiers)
        if (tier <= request.tier)
            waiting_s += state.queue.tier_queue(tier).cost();
    const double reserved =
        state.load.reserved_slots(now, request.tier, local_servers);
    const double usable_slots = std::max(local_servers.slots - reserved, 1.0);
    const absl::Duration remaining =
        state.queue.max_latest_start(request.tier) - now;
    return absl::Seconds(waiting_s / usable_slots) > remaining;
}

bool decider::keeps_reserve(absl::Time now, const open_request& request,
                            const capacity& available)
{
    if (request.tier == core::tier::interactive)
        return true;
    const double reserved = routes_[request.route].load.reserved_slots(
        now, request.tier, available);
    if (available.free_slots > reserved)
        return true;
    if (!is_recheck_scheduled_)
        timers_.add(now + recheck_interval, dispatch_timer{});
    is_recheck_scheduled_ = true;
    return false;
}

void decider::start(absl::Time now, open_request& request,
                    const placement_choice& choice, bool is_remote,
                    actions& out)
{
    route_state& state = routes_[request.route];
    remove_from_class_count(request);
    if (request.is_resuming())
        state.queue.pop_resuming(request.tier, request.queue_entry, now);
    else
        state.queue.pop(request.tier, request.request.workspace,
                        request.queue_entry, now);
    request.state = request_state::running;
    request.call = core::call_id(next_call_++);
    ++request.attempts;
    calls_.emplace(request.call, open_call{.request = &request,
                                           .server = choice.server,
                                           .started_at = now,
                                           .last_byte_at = now,
                                           .tokens = request.delivered_tokens,
                                           .is_cross_region = is_remote});
    if (is_remote) {
        state.remote_allowance -= state.remote_allowance > 0 ? 1 : 0;
        ++stats_.cross_region_calls;
        stats_.paid_bytes += request.request.body_bytes;
    }
    servers_.call_started(choice.server, now);
    placement_.on_placed(servers_, request.request, choice.server, now);
    const bool is_stream = classes_.at(request.class_index).settings.kind ==
                           core::call_kind::generate;
    const core::backend_server_id& server =
        servers_.at(choice.server).server.id;
    out.emplace_back(record_decision{.request = request.request.id,
                                     .kind = step_kind::placed,
                                     .server = server,
                                     .score = choice.score});
    out.emplace_back(start_call{.call = request.call,
                                .request = request.request.id,
                                .server = server,
                                .resume_from = request.delivered_tokens,
                                .priority = request.tier,
                                .gap_timeout = gap_timeout(request),
                                .deadline = is_stream && request.idempotent
                                                ? absl::InfiniteFuture()
                                                : request.deadline});
}

absl::Duration decider::gap_timeout(const open_request& request) const
{
    const core::service_class& rules =
        classes_.at(request.class_index).settings;
    const absl::Duration shortest_target =
        std::min(rules.target.first_token, rules.target.whole_answer);
    if (shortest_target == absl::InfiniteDuration())
        return rules.deadline * gap_timeout_deadline_share;
    return shortest_target *
           (rules.idempotent
                ? settings_.retry.gap_timeout_share
                : settings_.retry.non_idempotent_gap_timeout_share);
}

} // namespace oriolefall::decision
