#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::decision {

namespace {

constexpr absl::Duration no_server_retry_after = absl::Seconds(1);
constexpr absl::Duration leaving_retry_after = absl::Milliseconds(100);
/// A broken stream that no server could go on with ends after this many
/// times its deadline.
constexpr double resume_deadlines = 2.0;

decider_hooks complete(decider_hooks given, const decider_settings& settings)
{
    decider_hooks defaults = default_hooks(settings);
    if (!given.placement_score)
        given.placement_score = std::move(defaults.placement_score);
    if (!given.admission_estimate)
        given.admission_estimate = std::move(defaults.admission_estimate);
    if (!given.retry_rule)
        given.retry_rule = std::move(defaults.retry_rule);
    return given;
}

} // namespace

decider::decider(const decider_settings& settings)
    : decider(settings, decider_hooks{})
{
}

decider::decider(const decider_settings& settings, const decider_hooks& hooks)
    : settings_(settings), hooks_(complete(hooks, settings)),
      servers_(settings), placement_(settings, hooks_.placement_score),
      budget_(settings.retry.budget_ratio, settings.retry.budget_capacity),
      random_(settings.seed + 1)
{
}

void decider::step(absl::Time now, const event& event, std::vector<action>& out)
{
    while (const auto due = timers_.take(now))
        std::visit([&](const auto& some) { on_due(now, some, out); }, *due);
    std::visit([&](const auto& some) { on(now, some, out); }, event);
}

absl::Time decider::next_tick() const
{
    return timers_.next();
}

std::size_t decider::open_requests() const
{
    return requests_.size();
}

void decider::on(absl::Time now, const request_arrived& event, actions& out)
{
    assert(!requests_.contains(event.request.id));
    if (const auto why = refuse_early(event.request)) {
        out.emplace_back(decision_noted{.request = event.request.id,
                                        .kind = step_kind::refused,
                                        .cause = why->cause});
        const bool has_key = event.request.key.has_value();
        out.emplace_back(finish_request{
            event.request.id, core::refusal_verdict(why->cause, has_key),
            why->retry_after});
        return;
    }
    open_request& request = open(now, event.request);
    if (const auto why = admit(now, request, out)) {
        refuse(request, *why, out);
        return;
    }
    note(request, step_kind::queued, core::reason::queue_full, out);
    timers_.add(request.deadline, request_due{request.request.id});
    if (!request.idempotent && request.request.key) {
        claim(request, out);
        return;
    }
    timers_.add(request.place.due, request_due{request.request.id});
    enqueue(request);
    dispatch(now, request.route, out);
}

std::optional<decider::refusal>
decider::refuse_early(const core::request& request) const
{
    if (leaving_)
        return refusal{core::reason::instance_leaving, leaving_retry_after};
    if (!classes_.find(request.service_class))
        return refusal{core::reason::unknown_class};
    const auto route = servers_.find_route(request);
    if (!route || servers_.route_at(*route).servers == 0)
        return refusal{core::reason::no_backend_server, no_server_retry_after};
    return std::nullopt;
}

open_request& decider::open(absl::Time now, const core::request& request)
{
    auto made = std::make_unique<open_request>();
    made->request = request;
    made->class_index = *classes_.find(request.service_class);
    made->route = *servers_.find_route(request);
    const class_record& record = classes_.at(made->class_index);
    made->tier = record.settings.tier;
    made->idempotent = record.settings.idempotent;
    made->arrived = now;
    made->deadline = now + record.settings.deadline;
    const absl::Duration allowed =
        record.allowed_wait(request, settings_.admission.length_quantile);
    made->place = waiting_request{.due = now + allowed,
                                  .id = request.id,
                                  .class_index = made->class_index,
                                  .cost = record.expected_hold(request)};
    routes_[made->route].load.on_arrival(now, made->tier, made->place.cost,
                                         allowed);
    return *requests_.emplace(request.id, std::move(made)).first->second;
}

void decider::claim(open_request& request, actions& out)
{
    request.state = request_state::claiming;
    request.wake = absl::InfiniteFuture();
    out.emplace_back(claim_key{request.request.id, request.request.workspace,
                               *request.request.key});
}

void decider::on(absl::Time now, const key_claimed& event, actions& out)
{
    const auto ended = ended_claims_.find(event.request);
    if (ended != ended_claims_.end()) {
        if (event.outcome == claim_outcome::granted)
            out.push_back(
                record_outcome{ended->second.workspace, ended->second.key,
                               core::not_run{core::reason::caller_gone}});
        ended_claims_.erase(ended);
        return;
    }
    const auto found = requests_.find(event.request);
    if (found == requests_.end() ||
        found->second->state != request_state::claiming ||
        found->second->wake < absl::InfiniteFuture())
        return;
    open_request& request = *found->second;
    switch (event.outcome) {
    case claim_outcome::granted:
        request.claimed = true;
        timers_.add(request.place.due, request_due{request.request.id});
        enqueue(request);
        dispatch(now, request.route, out);
        return;
    case claim_outcome::in_progress:
        // Another call of this key may be running: "not run" could be wrong.
        request.state = request_state::arrived;
        finish(request, core::may_have_run{core::reason::key_in_progress},
               settings_.admission.least_retry_after, out);
        return;
    case claim_outcome::ran:
        request.state = request_state::arrived;
        finish(request, core::may_have_run{core::reason::duplicate_key},
               absl::ZeroDuration(), out);
        return;
    case claim_outcome::unavailable:
        request.last_cause = core::reason::platform_unavailable;
        request.wake = now + jittered(settings_.retry.claim_backoff);
        timers_.add(request.wake, request_due{request.request.id});
        return;
    }
}

void decider::on(absl::Time now, const caller_gone& event, actions& out)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end() || found->second->caller_gone)
        return;
    open_request& request = *found->second;
    request.caller_gone = true;
    note(request, step_kind::cancelled, core::reason::caller_gone, out);
    if (request.state == request_state::running) {
        // A request that runs at most once goes on, so that its outcome is
        // known to those who repeat it.
        if (request.idempotent)
            out.emplace_back(cancel_call{request.call});
        return;
    }
    const route_index route = request.route;
    end_without_answer(request, core::not_run{core::reason::caller_gone},
                       core::reason::caller_gone, absl::ZeroDuration(), out);
    dispatch(now, route, out);
}

void decider::on(absl::Time now, const table_applied& event, actions& out)
{
    if (event.table->version < version_)
        return;
    version_ = event.table->version;
    classes_.apply(event.table->classes);
    servers_.apply(event.table->servers, now);
    while (routes_.size() < servers_.routes())
        routes_.emplace_back(settings_.admission);
    on_due(now, dispatch_due{}, out);
}

void decider::on(absl::Time, const shutdown_requested&, actions&)
{
    leaving_ = true;
}

void decider::on(absl::Time, const tick&, actions&) {}

void decider::on_due(absl::Time now, const request_due& due, actions& out)
{
    const auto found = requests_.find(due.request);
    if (found == requests_.end())
        return;
    open_request& request = *found->second;
    if (now >= request.deadline)
        on_deadline(now, request, out);
    else if (now >= request.wake)
        on_wake(now, request, out);
    else if (request.state == request_state::queued)
        dispatch(now, request.route, out);
}

void decider::on_due(absl::Time now, const server_due& due, actions& out)
{
    const server_state& state = servers_.at(due.server);
    if (servers_.try_probe(due.server, now))
        out.emplace_back(decision_noted{.kind = step_kind::probed,
                                        .server = state.server.id});
    servers_.refresh(due.server, now);
    if (!state.routes.empty())
        dispatch(now, state.routes.front(), out);
}

void decider::on_due(absl::Time now, const dispatch_due&, actions& out)
{
    recheck_set_ = false;
    for (route_index i = 0; i < routes_.size(); ++i)
        if (!routes_[i].queue.empty())
            dispatch(now, i, out);
}

void decider::on_deadline(absl::Time now, open_request& request, actions& out)
{
    if (request.state == request_state::running) {
        // What has begun to be shown goes on to its end.
        if (request.delivered == 0 && request.idempotent &&
            !request.timed_out) {
            request.timed_out = true;
            out.emplace_back(cancel_call{request.call});
        }
        return;
    }
    const absl::Time last = last_resume(request);
    const bool can_go_on =
        servers_.route_at(request.route).resuming_servers > 0;
    if (request.resumes() && can_go_on && now < last) {
        if (now >= request.wake)
            on_wake(now, request, out);
        timers_.add(last, request_due{request.request.id});
        return;
    }
    const bool unclaimed = request.state == request_state::claiming;
    const core::reason cause = unclaimed ? core::reason::platform_unavailable
                                         : core::reason::deadline_passed;
    end_without_answer(request, core::not_run{cause}, cause,
                       settings_.admission.least_retry_after, out);
}

absl::Time decider::last_resume(const open_request& request)
{
    return request.arrived +
           (request.deadline - request.arrived) * resume_deadlines;
}

void decider::on_wake(absl::Time now, open_request& request, actions& out)
{
    request.wake = absl::InfiniteFuture();
    if (request.state == request_state::claiming) {
        claim(request, out);
        return;
    }
    enqueue(request);
    dispatch(now, request.route, out);
}

void decider::refuse(open_request& request, const refusal& why, actions& out)
{
    note(request, step_kind::refused, why.cause, out);
    end_without_answer(request, core::not_run{why.cause}, why.cause,
                       why.retry_after, out);
}

void decider::finish(open_request& request, const core::verdict& verdict,
                     absl::Duration retry_after, actions& out)
{
    const core::request& what = request.request;
    if (request.claimed)
        out.emplace_back(record_outcome{what.workspace, *what.key, verdict});
    else if (request.state == request_state::claiming &&
             request.wake == absl::InfiniteFuture() && what.key)
        ended_claims_.emplace(what.id,
                              claim_key{what.id, what.workspace, *what.key});
    out.emplace_back(finish_request{what.id, verdict, retry_after});
    const core::request_id id = what.id;
    requests_.erase(id);
}

void decider::note(open_request& request, step_kind kind, core::reason cause,
                   actions& out)
{
    out.emplace_back(decision_noted{
        .request = request.request.id, .kind = kind, .cause = cause});
}

} // namespace oriolefall::decision
