#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::decision {

namespace {

constexpr absl::Duration no_server_retry_after = absl::Seconds(1);
constexpr absl::Duration shutdown_retry_after = absl::Milliseconds(100);
/// An interrupted stream that no server can resume is ended after its deadline
/// times this factor.
constexpr double resume_deadline_factor = 2.0;

decider_hooks with_defaults(decider_hooks hooks,
                            const decider_settings& settings)
{
    decider_hooks defaults = default_hooks(settings);
    if (!hooks.placement_score)
        hooks.placement_score = std::move(defaults.placement_score);
    if (!hooks.admission_estimate)
        hooks.admission_estimate = std::move(defaults.admission_estimate);
    if (!hooks.retry_rule)
        hooks.retry_rule = std::move(defaults.retry_rule);
    return hooks;
}

} // namespace

decider::decider(const decider_settings& settings)
    : decider(settings, decider_hooks{})
{
}

decider::decider(const decider_settings& settings, const decider_hooks& hooks)
    : settings_(settings), hooks_(with_defaults(hooks, settings)),
      servers_(settings), placement_(settings, hooks_.placement_score),
      budget_(settings.retry.budget_ratio, settings.retry.budget_capacity),
      random_(settings.seed + 1)
{
}

void decider::step(absl::Time now, const event& event, std::vector<action>& out)
{
    while (const auto timer = timers_.pop_due(now))
        std::visit([&](const auto& each) { on_timer(now, each, out); }, *timer);
    std::visit([&](const auto& each) { on(now, each, out); }, event);
}

absl::Time decider::next_tick() const
{
    return timers_.next_due();
}

std::size_t decider::open_requests() const
{
    return requests_.size();
}

void decider::on(absl::Time now, const request_arrived& event, actions& out)
{
    assert(!requests_.contains(event.request.id));
    if (const auto why = check_arrival(event.request)) {
        out.emplace_back(record_decision{.request = event.request.id,
                                         .kind = step_kind::refused,
                                         .cause = why->cause});
        const bool has_key = event.request.key.has_value();
        out.emplace_back(finish_request{
            event.request.id, core::refusal_verdict(why->cause, has_key),
            why->retry_after});
        return;
    }
    open_request& request = add_request(now, event.request);
    if (const auto why = admit(now, request, out)) {
        refuse(request, *why, out);
        return;
    }
    record_step(request, step_kind::queued, core::reason::queue_full, out);
    timers_.add(request.deadline, request_timer{request.request.id});
    if (!request.idempotent && request.request.key) {
        request_claim(request, out);
        return;
    }
    timers_.add(request.queue_entry.latest_start,
                request_timer{request.request.id});
    enqueue(request);
    dispatch(now, request.route, out);
}

std::optional<decider::refusal>
decider::check_arrival(const core::request& request) const
{
    if (is_shutting_down_)
        return refusal{core::reason::instance_leaving, shutdown_retry_after};
    if (!classes_.find(request.service_class))
        return refusal{core::reason::unknown_class};
    const auto route = servers_.find_route(request);
    if (!route || servers_.route_at(*route).servers == 0)
        return refusal{core::reason::no_backend_server, no_server_retry_after};
    return std::nullopt;
}

open_request& decider::add_request(absl::Time now, const core::request& request)
{
    auto created = std::make_unique<open_request>();
    created->request = request;
    created->class_index = *classes_.find(request.service_class);
    created->route = *servers_.find_route(request);
    const class_record& record = classes_.at(created->class_index);
    created->tier = record.settings.tier;
    created->idempotent = record.settings.idempotent;
    created->arrived_at = now;
    created->deadline = now + record.settings.deadline;
    const absl::Duration allowed =
        record.allowed_wait(request, settings_.admission.length_quantile);
    created->queue_entry = scheduling::waiting_request{
        .latest_start = now + allowed,
        .id = request.id,
        .class_index = created->class_index,
        .cost = record.expected_service_time_s(request)};
    routes_[created->route].load.on_arrival(now, created->tier,
                                            created->queue_entry.cost, allowed);
    return *requests_.emplace(request.id, std::move(created)).first->second;
}

void decider::request_claim(open_request& request, actions& out)
{
    request.state = request_state::claiming;
    request.wake_at = absl::InfiniteFuture();
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
        found->second->wake_at < absl::InfiniteFuture())
        return;
    open_request& request = *found->second;
    switch (event.outcome) {
    case claim_outcome::granted:
        request.is_claimed = true;
        timers_.add(request.queue_entry.latest_start,
                    request_timer{request.request.id});
        enqueue(request);
        dispatch(now, request.route, out);
        return;
    case claim_outcome::in_progress:
        // Another call with this key may be running, so `not_run` could be
        // wrong.
        request.state = request_state::arrived;
        finish(request, core::may_have_run{core::reason::key_in_progress},
               settings_.admission.min_retry_after, out);
        return;
    case claim_outcome::ran:
        request.state = request_state::arrived;
        finish(request, core::may_have_run{core::reason::duplicate_key},
               absl::ZeroDuration(), out);
        return;
    case claim_outcome::unavailable:
        request.last_cause = core::reason::platform_unavailable;
        request.wake_at = now + jittered(settings_.retry.claim_backoff);
        timers_.add(request.wake_at, request_timer{request.request.id});
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
    record_step(request, step_kind::cancelled, core::reason::caller_gone, out);
    if (request.state == request_state::running) {
        // A non-idempotent call is not cancelled, so that its outcome is known
        // to later requests with the same key.
        if (request.idempotent)
            out.emplace_back(cancel_call{request.call});
        return;
    }
    const route_index route = request.route;
    finish_unanswered(request, core::not_run{core::reason::caller_gone},
                      core::reason::caller_gone, absl::ZeroDuration(), out);
    dispatch(now, route, out);
}

void decider::on(absl::Time now, const table_applied& event, actions& out)
{
    if (event.table->version < table_version_)
        return;
    table_version_ = event.table->version;
    classes_.apply(event.table->classes);
    servers_.apply(event.table->servers, now);
    while (routes_.size() < servers_.route_count())
        routes_.emplace_back(settings_.admission);
    on_timer(now, dispatch_timer{}, out);
}

void decider::on(absl::Time, const shutdown_requested&, actions&)
{
    is_shutting_down_ = true;
}

void decider::on(absl::Time, const tick&, actions&) {}

void decider::on_timer(absl::Time now, const request_timer& timer, actions& out)
{
    const auto found = requests_.find(timer.request);
    if (found == requests_.end())
        return;
    open_request& request = *found->second;
    if (now >= request.deadline)
        on_deadline(now, request, out);
    else if (now >= request.wake_at)
        continue_request(now, request, out);
    else if (request.state == request_state::queued)
        dispatch(now, request.route, out);
}

void decider::on_timer(absl::Time now, const server_timer& timer, actions& out)
{
    const server_state& state = servers_.at(timer.server);
    if (servers_.try_start_probe(timer.server, now))
        out.emplace_back(record_decision{.kind = step_kind::probed,
                                         .server = state.server.id});
    servers_.refresh(timer.server, now);
    if (!state.routes.empty())
        dispatch(now, state.routes.front(), out);
}

void decider::on_timer(absl::Time now, const dispatch_timer&, actions& out)
{
    is_recheck_scheduled_ = false;
    for (route_index i = 0; i < routes_.size(); ++i)
        if (!routes_[i].queue.empty())
            dispatch(now, i, out);
}

void decider::on_deadline(absl::Time now, open_request& request, actions& out)
{
    if (request.state == request_state::running) {
        // A stream whose first tokens were delivered continues past its
        // deadline.
        if (request.delivered_tokens == 0 && request.idempotent &&
            !request.is_timed_out) {
            request.is_timed_out = true;
            out.emplace_back(cancel_call{request.call});
        }
        return;
    }
    const absl::Time last_resume = resume_deadline(request);
    const bool can_resume =
        servers_.route_at(request.route).resuming_servers > 0;
    if (request.is_resuming() && can_resume && now < last_resume) {
        if (now >= request.wake_at)
            continue_request(now, request, out);
        timers_.add(last_resume, request_timer{request.request.id});
        return;
    }
    const bool is_unclaimed = request.state == request_state::claiming;
    const core::reason cause = is_unclaimed ? core::reason::platform_unavailable
                                            : core::reason::deadline_passed;
    finish_unanswered(request, core::not_run{cause}, cause,
                      settings_.admission.min_retry_after, out);
}

absl::Time decider::resume_deadline(const open_request& request)
{
    return request.arrived_at +
           (request.deadline - request.arrived_at) * resume_deadline_factor;
}

void decider::continue_request(absl::Time now, open_request& request,
                               actions& out)
{
    request.wake_at = absl::InfiniteFuture();
    if (request.state == request_state::claiming) {
        request_claim(request, out);
        return;
    }
    enqueue(request);
    dispatch(now, request.route, out);
}

void decider::refuse(open_request& request, const refusal& why, actions& out)
{
    record_step(request, step_kind::refused, why.cause, out);
    finish_unanswered(request, core::not_run{why.cause}, why.cause,
                      why.retry_after, out);
}

void decider::finish(open_request& request, const core::verdict& verdict,
                     absl::Duration retry_after, actions& out)
{
    const core::request& finished = request.request;
    if (request.is_claimed)
        out.emplace_back(
            record_outcome{finished.workspace, *finished.key, verdict});
    else if (request.state == request_state::claiming &&
             request.wake_at == absl::InfiniteFuture() && finished.key)
        ended_claims_.emplace(
            finished.id,
            claim_key{finished.id, finished.workspace, *finished.key});
    out.emplace_back(finish_request{finished.id, verdict, retry_after});
    const core::request_id id = finished.id;
    requests_.erase(id);
}

void decider::record_step(open_request& request, step_kind kind,
                          core::reason cause, actions& out)
{
    out.emplace_back(record_decision{
        .request = request.request.id, .kind = kind, .cause = cause});
}

} // namespace oriolefall::decision
