// Progress and ends of calls: statistics, server health and retries.
#include "oriolefall/decision/decider.hpp"

#include <algorithm>
#include <cassert>
#include <variant>

namespace oriolefall::decision {

namespace {

/// A first byte within this many times the usual time indicates an idle server.
constexpr double idle_first_byte_ratio = 1.2;
/// The charge of a workspace is adjusted by at most this many times the
/// expected service time.
constexpr double max_correction = 3.0;
constexpr double min_interval_s = 1e-4;
/// Jitter varies a backoff by up to this fraction in both directions.
constexpr double jitter_fraction = 0.5;

std::optional<core::reason> cause_of(const core::verdict& verdict)
{
    if (const auto* refused = std::get_if<core::not_run>(&verdict))
        return refused->reason;
    if (const auto* unknown = std::get_if<core::may_have_run>(&verdict))
        return unknown->reason;
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
    if (call.has_first_byte)
        on_tokens(now, call, event.tokens, out);
    else
        on_first_byte(now, call, out);
    if (call.is_cross_region)
        stats_.paid_bytes +=
            (event.tokens - call.tokens) * settings_.placement.bytes_per_token;
    call.tokens = event.tokens;
    call.last_byte_at = now;
    call.request->delivered_tokens = event.tokens;
}

void decider::on_first_byte(absl::Time now, open_call& call, actions& out)
{
    call.has_first_byte = true;
    const open_request& request = *call.request;
    const double elapsed_s = absl::ToDoubleSeconds(now - call.started_at);
    route_load& load = routes_[request.route].load;
    const std::uint32_t prompt_tokens = request.request.prompt_tokens;
    const double typical_s =
        std::max(load.first_byte_s(prompt_tokens, elapsed_s), min_interval_s);
    load.on_first_byte(prompt_tokens, elapsed_s);
    classes_.at(request.class_index).first_byte_time.add(elapsed_s);
    server_state& server = servers_.at(call.server);
    const double ratio = elapsed_s / typical_s;
    const std::uint32_t limit_before = server.limit.value();
    server.limit.on_latency(now, ratio, absl::Seconds(elapsed_s - typical_s),
                            server.in_flight);
    if (ratio < idle_first_byte_ratio)
        server.load.on_fast_first_byte(server.in_flight, server.server.slots);
    if (server.limit.value() == limit_before)
        return;
    servers_.refresh(call.server, now);
    if (server.limit.value() > limit_before)
        dispatch(now, request.route, out);
}

void decider::on_tokens(absl::Time now, open_call& call, std::uint64_t tokens,
                        actions& out)
{
    const open_request& request = *call.request;
    const double interval_s = absl::ToDoubleSeconds(now - call.last_byte_at) /
                              static_cast<double>(tokens - call.tokens);
    route_load& load = routes_[request.route].load;
    const double typical_s =
        std::max(load.token_interval_s(interval_s), min_interval_s);
    load.on_token_interval(interval_s);
    classes_.at(request.class_index).token_interval.add(interval_s);
    server_health& health = servers_.at(call.server).health;
    health.on_token_interval(now, interval_s / typical_s);
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
    open_request& request = *call.request;
    const route_index route = request.route;
    if (call.is_cross_region && event.tokens > call.tokens)
        stats_.paid_bytes +=
            (event.tokens - call.tokens) * settings_.placement.bytes_per_token;
    request.delivered_tokens = std::max(request.delivered_tokens, event.tokens);
    request.failed_server = call.server;
    update_estimates(now, call, event);
    record_call_result(now, call, event, out);
    servers_.call_ended(call.server, now);
    if (std::holds_alternative<core::ran>(event.verdict))
        finish(request, event.verdict, absl::ZeroDuration(), out);
    else
        on_unanswered_call(now, request, event, out);
    dispatch(now, route, out);
}

void decider::update_estimates(absl::Time now, const open_call& call,
                               const call_ended& event)
{
    const open_request& request = *call.request;
    route_state& state = routes_[request.route];
    if (std::holds_alternative<core::not_run>(event.verdict))
        return;
    const double service_time_s = absl::ToDoubleSeconds(now - call.started_at);
    state.load.on_call_ended(service_time_s);
    const auto* completed = std::get_if<core::ran>(&event.verdict);
    if (completed == nullptr)
        return;
    budget_.on_success();
    class_record& record = classes_.at(request.class_index);
    const double expected_s = request.queue_entry.cost;
    const double max_correction_s = expected_s * max_correction;
    state.queue.adjust_charge(
        request.tier, request.request.workspace, request.class_index,
        std::clamp(service_time_s - expected_s, -expected_s, max_correction_s),
        now);
    if (record.settings.kind == core::call_kind::generate) {
        record.output_lengths.add(
            std::max(completed->tokens, request.delivered_tokens));
        return;
    }
    const double typical_s =
        std::max(state.load.token_interval_s(service_time_s), min_interval_s);
    state.load.on_token_interval(service_time_s);
    record.first_byte_time.add(service_time_s);
    servers_.at(call.server)
        .health.on_token_interval(now, service_time_s / typical_s);
}

void decider::record_call_result(absl::Time now, const open_call& call,
                                 const call_ended& event, actions& out)
{
    server_state& state = servers_.at(call.server);
    const auto cause = cause_of(event.verdict);
    const bool was_abandoned =
        call.request->caller_gone || call.request->is_timed_out;
    if (!cause)
        state.health.on_success();
    else if (is_failure(*cause) && !was_abandoned)
        state.health.on_failure();
    if (cause == core::reason::backend_refused) {
        state.limit.on_congestion(now, state.in_flight + 1.0);
        state.refused_until = now + event.retry_after;
        if (event.retry_after > absl::ZeroDuration())
            timers_.add(state.refused_until, server_timer{call.server});
    }
    if (state.health.is_outlier())
        eject_outlier(now, call.server, out);
}

void decider::eject_outlier(absl::Time now, server_index server, actions& out)
{
    if (!servers_.try_eject(server, now))
        return;
    ++stats_.ejections;
    const server_state& state = servers_.at(server);
    timers_.add(state.health.ejected_until(), server_timer{server});
    out.emplace_back(record_decision{.kind = step_kind::ejected,
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

void decider::on_unanswered_call(absl::Time now, open_request& request,
                                 const call_ended& event, actions& out)
{
    const core::reason cause = *cause_of(event.verdict);
    request.last_cause = cause;
    const bool was_refused =
        std::holds_alternative<core::not_run>(event.verdict);
    request.may_have_run = request.may_have_run || !was_refused;
    if (request.caller_gone || request.is_timed_out) {
        const core::reason why = request.caller_gone
                                     ? core::reason::caller_gone
                                     : core::reason::deadline_passed;
        finish_unanswered(request, event.verdict, why, event.retry_after, out);
        return;
    }
    const auto& rules = classes_.at(request.class_index).settings;
    const retry_view view{
        .verdict = event.verdict,
        .idempotent = request.idempotent,
        .attempts = request.attempts,
        .max_attempts = rules.max_attempts,
        .delivered_tokens = request.delivered_tokens,
        .can_resume = servers_.route_at(request.route).resuming_servers > 0,
        .has_retry_budget = budget_.has_one(),
        .remaining_time = request.deadline - now};
    const retry_decision decision = hooks_.retry_rule(view);
    const bool may_retry = request.idempotent || !request.may_have_run;
    if (decision.kind != retry_kind::give_up && may_retry) {
        schedule_retry(now, request, decision, out);
        return;
    }
    const core::reason why =
        may_retry && decision.cause != core::reason::connection_lost
            ? decision.cause
            : cause;
    finish_unanswered(request, event.verdict, why, event.retry_after, out);
}

void decider::schedule_retry(absl::Time now, open_request& request,
                             const retry_decision& decision, actions& out)
{
    budget_.spend();
    const bool is_resuming = decision.kind == retry_kind::resume;
    assert(is_resuming == request.is_resuming());
    record_step(request, is_resuming ? step_kind::resumed : step_kind::retried,
                request.last_cause, out);
    request.state = request_state::backoff;
    if (now >= request.deadline)
        timers_.add(resume_deadline(request),
                    request_timer{request.request.id});
    request.wake_at = now + jittered(decision.backoff);
    if (request.wake_at > now)
        timers_.add(request.wake_at, request_timer{request.request.id});
    else
        continue_request(now, request, out);
}

void decider::finish_unanswered(open_request& request,
                                const core::verdict& verdict,
                                core::reason cause, absl::Duration retry_after,
                                actions& out)
{
    if (request.state == request_state::queued)
        remove_from_queue(request);
    // Without a granted claim, another instance may have run this key.
    const bool is_exclusive = request.idempotent || request.is_claimed;
    const bool has_not_run = std::holds_alternative<core::not_run>(verdict) &&
                             is_exclusive && !request.may_have_run &&
                             request.delivered_tokens == 0;
    if (has_not_run)
        finish(request, core::not_run{cause}, retry_after, out);
    else
        finish(request, core::may_have_run{cause}, retry_after, out);
}

absl::Duration decider::jittered(absl::Duration mean)
{
    constexpr double steps = 1 << 20;
    const double fraction = static_cast<double>(random_() >> 44U) / steps;
    return mean * (1.0 - jitter_fraction + 2.0 * jitter_fraction * fraction);
}

} // namespace oriolefall::decision
