// Calls of the decider: what they show, how they end, what follows.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>
#include <variant>

namespace oriolefall::decision {

namespace {

/// A first byte within this many times the usual time shows an idle server.
constexpr double fast_ratio = 1.2;
/// The charge of a workspace is corrected by at most this many times the
/// expected server time.
constexpr double most_correction = 3.0;
constexpr double least_step_s = 1e-4;
/// Jitter spreads a wait over this part of it, to both sides.
constexpr double jitter_part = 0.5;

std::optional<core::reason> cause_of(const core::verdict& verdict)
{
    if (const auto* none = std::get_if<core::not_run>(&verdict))
        return none->reason;
    if (const auto* some = std::get_if<core::may_have_run>(&verdict))
        return some->reason;
    return std::nullopt;
}

bool is_failure(core::reason cause)
{
    return cause == core::reason::connect_failed ||
           cause == core::reason::connection_lost ||
           cause == core::reason::connection_silent ||
           cause == core::reason::backend_error;
}

} // namespace

void decider::on(absl::Time now, const call_progressed& event, actions& out)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end() || event.tokens <= found->second.tokens)
        return;
    open_call& call = found->second;
    if (call.has_byte)
        on_tokens(now, call, event.tokens, out);
    else
        on_first_byte(now, call, out);
    if (call.paid)
        figures_.paid_bytes +=
            (event.tokens - call.tokens) * settings_.placement.bytes_per_token;
    call.tokens = event.tokens;
    call.last_byte = now;
    call.owner->delivered = event.tokens;
}

void decider::on_first_byte(absl::Time now, open_call& call, actions& out)
{
    call.has_byte = true;
    const open_request& request = *call.owner;
    const double taken = absl::ToDoubleSeconds(now - call.started);
    route_load& load = routes_[request.route].load;
    const std::uint32_t prompt = request.request.prompt_tokens;
    const double usual =
        std::max(load.first_byte_s(prompt, taken), least_step_s);
    load.on_first_byte(prompt, taken);
    classes_.at(request.class_index).first_byte.add(taken);
    server_state& server = servers_.at(call.server);
    const double ratio = taken / usual;
    const std::uint32_t before = server.limit.value();
    server.limit.on_first_byte(now, ratio, absl::Seconds(taken - usual),
                               server.in_flight);
    if (ratio < fast_ratio)
        server.load.on_fast_first_byte(server.in_flight, server.server.slots);
    if (server.limit.value() == before)
        return;
    servers_.refresh(call.server, now);
    if (server.limit.value() > before)
        dispatch(now, request.route, out);
}

void decider::on_tokens(absl::Time now, open_call& call, std::uint64_t tokens,
                        actions& out)
{
    const open_request& request = *call.owner;
    const double step = absl::ToDoubleSeconds(now - call.last_byte) /
                        static_cast<double>(tokens - call.tokens);
    route_load& load = routes_[request.route].load;
    const double usual = std::max(load.step_s(step), least_step_s);
    load.on_step(step);
    classes_.at(request.class_index).between.add(step);
    server_health& health = servers_.at(call.server).health;
    health.on_step(now, step / usual);
    if (health.is_outlier())
        eject_outlier(now, call.server, out);
}

void decider::on(absl::Time now, const call_ended& event, actions& out)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end())
        return;
    const open_call call = found->second;
    calls_.erase(found);
    open_request& request = *call.owner;
    const route_index route = request.route;
    if (call.paid && event.tokens > call.tokens)
        figures_.paid_bytes +=
            (event.tokens - call.tokens) * settings_.placement.bytes_per_token;
    request.delivered = std::max(request.delivered, event.tokens);
    request.failed_at = call.server;
    learn_from(now, call, event);
    judge_server(now, call, event, out);
    servers_.call_ended(call.server, now);
    if (std::holds_alternative<core::ran>(event.verdict))
        finish(request, event.verdict, absl::ZeroDuration(), out);
    else
        go_on(now, request, event, out);
    dispatch(now, route, out);
}

void decider::learn_from(absl::Time now, const open_call& call,
                         const call_ended& event)
{
    const open_request& request = *call.owner;
    route_work& work = routes_[request.route];
    if (std::holds_alternative<core::not_run>(event.verdict))
        return;
    const double held = absl::ToDoubleSeconds(now - call.started);
    work.load.on_call_ended(held);
    const auto* whole = std::get_if<core::ran>(&event.verdict);
    if (whole == nullptr)
        return;
    budget_.on_success();
    class_record& record = classes_.at(request.class_index);
    const double expected = request.place.cost;
    const double most = expected * most_correction;
    work.queue.correct(request.tier, request.request.workspace,
                       request.class_index,
                       std::clamp(held - expected, -expected, most), now);
    if (record.settings.kind == core::call_kind::generate) {
        record.lengths.add(std::max(whole->tokens, request.delivered));
        return;
    }
    const double usual = std::max(work.load.step_s(held), least_step_s);
    work.load.on_step(held);
    record.first_byte.add(held);
    servers_.at(call.server).health.on_step(now, held / usual);
}

void decider::judge_server(absl::Time now, const open_call& call,
                           const call_ended& event, actions& out)
{
    server_state& state = servers_.at(call.server);
    const auto cause = cause_of(event.verdict);
    const bool given_up = call.owner->caller_gone || call.owner->timed_out;
    if (!cause)
        state.health.on_success();
    else if (is_failure(*cause) && !given_up)
        state.health.on_failure();
    if (cause == core::reason::backend_refused) {
        state.limit.on_refused(now, state.in_flight);
        state.refused_until = now + event.retry_after;
        if (event.retry_after > absl::ZeroDuration())
            timers_.add(state.refused_until, server_due{call.server});
    }
    if (state.health.is_outlier())
        eject_outlier(now, call.server, out);
}

void decider::eject_outlier(absl::Time now, server_index server, actions& out)
{
    if (!servers_.try_eject(server, now))
        return;
    ++figures_.ejections;
    const server_state& state = servers_.at(server);
    timers_.add(state.health.out_until(), server_due{server});
    out.emplace_back(decision_noted{.kind = step_kind::ejected,
                                    .server = state.server.id,
                                    .score = state.health.slowness()});
}

void decider::on(absl::Time now, const load_reported& event, actions&)
{
    const auto server = servers_.find(event.server);
    if (!server)
        return;
    server_state& state = servers_.at(*server);
    state.load.on_report(now, event, state.in_flight, state.server.slots);
}

void decider::go_on(absl::Time now, open_request& request,
                    const call_ended& event, actions& out)
{
    const core::reason cause = *cause_of(event.verdict);
    request.last_cause = cause;
    const bool refused = std::holds_alternative<core::not_run>(event.verdict);
    request.may_have_run = request.may_have_run || !refused;
    if (request.caller_gone || request.timed_out) {
        const core::reason why = request.caller_gone
                                     ? core::reason::caller_gone
                                     : core::reason::deadline_passed;
        end_without_answer(request, event.verdict, why, event.retry_after, out);
        return;
    }
    const auto& rules = classes_.at(request.class_index).settings;
    const retry_view view{
        .verdict = event.verdict,
        .idempotent = request.idempotent,
        .attempts = request.attempts,
        .max_attempts = rules.max_attempts,
        .delivered = request.delivered,
        .can_resume = servers_.route_at(request.route).resuming_servers > 0,
        .budget_left = budget_.has_one(),
        .time_left = request.deadline - now};
    const retry_decision decision = hooks_.retry_rule(view);
    const bool allowed = request.idempotent || !request.may_have_run;
    if (decision.kind != retry_kind::give_up && allowed) {
        try_again(now, request, decision, out);
        return;
    }
    const core::reason why =
        allowed && decision.cause != core::reason::connection_lost
            ? decision.cause
            : cause;
    end_without_answer(request, event.verdict, why, event.retry_after, out);
}

void decider::try_again(absl::Time now, open_request& request,
                        const retry_decision& decision, actions& out)
{
    budget_.spend();
    const bool resumes = decision.kind == retry_kind::resume;
    assert(resumes == request.resumes());
    note(request, resumes ? step_kind::resumed : step_kind::retried,
         request.last_cause, out);
    request.state = request_state::backoff;
    if (now >= request.deadline)
        timers_.add(last_resume(request), request_due{request.request.id});
    request.wake = now + jittered(decision.backoff);
    if (request.wake > now)
        timers_.add(request.wake, request_due{request.request.id});
    else
        on_wake(now, request, out);
}

void decider::end_without_answer(open_request& request,
                                 const core::verdict& verdict,
                                 core::reason cause, absl::Duration retry_after,
                                 actions& out)
{
    if (request.state == request_state::queued)
        leave_queue(request);
    // Without a granted claim another instance may have run this key before.
    const bool is_alone = request.idempotent || request.claimed;
    const bool none_ran = std::holds_alternative<core::not_run>(verdict) &&
                          is_alone && !request.may_have_run &&
                          request.delivered == 0;
    if (none_ran)
        finish(request, core::not_run{cause}, retry_after, out);
    else
        finish(request, core::may_have_run{cause}, retry_after, out);
}

absl::Duration decider::jittered(absl::Duration mean)
{
    constexpr double steps = 1 << 20;
    const double part = static_cast<double>(random_() >> 44U) / steps;
    return mean * (1.0 - jitter_part + 2.0 * jitter_part * part);
}

} // namespace oriolefall::decision
