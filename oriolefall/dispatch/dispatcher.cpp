#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Statuses from this one on are errors of the server.
constexpr int first_server_error = 500;

} // namespace

dispatcher::dispatcher(dispatch_settings settings, dispatch_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      quarantine_(settings_.quarantine, hooks_.random),
      instance_count_(settings_.min_instances),
      restrictions_(settings_.max_restricted_servers)
{
    assert(hooks_.cost && hooks_.random);
}

void dispatcher::step(absl::Time now, const event& event,
                      std::vector<action>& out)
{
    assert(now >= now_);
    now_ = now;
    actions_ = &out;
    peer_load_.expire_reports(now);
    apply_peer_loads();
    std::visit([this](const auto& value) { on(value); }, event);
    apply_quarantine();
    serve_waiting();
    report_notices();
    report_load();
    send_demand();
    actions_ = nullptr;
}

absl::Time dispatcher::next_tick() const
{
    absl::Time next = std::min(
        {next_report_at_, next_quarantine_report_at_, next_demand_at_});
    if (quarantine_.has_changes())
        next = std::min(next, next_crash_report_at_);
    if (!changed_limits_.empty())
        next = std::min(next, next_notice_report_at_);
    if (!deadlines_.empty())
        next = std::min(next, deadlines_.begin()->first);
    for (const auto& [name, admission] : admissions_)
        if (!admission.waiting.empty())
            next = std::min(next, admission.next_try_at);
    return next;
}

std::size_t dispatcher::open_requests() const
{
    return requests_.size();
}

void dispatcher::on(const arrival& event)
{
    open_request request;
    request.arrival_event = event;
    request.table = table_;
    if (const auto cause = check_admission(request)) {
        log_refused(request, *cause);
        const bool is_retryable =
            *cause != refusal::unknown_route && *cause != refusal::unknown_key;
        actions_->push_back(refuse{event.id, *cause, is_retryable,
                                   is_retryable
                                       ? retry_after_of(request, *cause)
                                       : absl::ZeroDuration()});
        return;
    }
    const auto& route = *request.route;
    request.service = choose_service(route);
    request.deadline =
        event.received_at +
        std::min(route.request_timeout + settings_.deadline_grace,
                 event.caller_timeout + settings_.deadline_grace);
    retry_budget_of(request.service).record_request(now_);
    const auto* service = table_->find_service(request.service);
    request.is_engine = service != nullptr && service->engine.has_value();
    pool_of(request.service).lengths().record(total_tokens(event.prompt));
    pool_of(request.service).record_prompt(now_, event.prompt);
    const auto [inserted, is_new] =
        requests_.emplace(event.id.value(), std::move(request));
    assert(is_new);
    open_request& stored = inserted->second;
    if (stored.deadline != absl::InfiniteFuture())
        deadlines_.emplace(stored.deadline, event.id.value());
    place_request(stored, refusal::no_server);
}

std::optional<refusal> dispatcher::check_admission(open_request& request)
{
    if (!table_ || !has_servers_)
        return refusal::no_settings;
    request.route = table_->find_route(request.arrival_event.host,
                                       request.arrival_event.path);
    if (request.route == nullptr)
        return refusal::unknown_route;
    if (table_->requires_key(*request.route)) {
        request.workspace =
            table_->find_workspace(request.arrival_event.api_key);
        if (request.workspace == nullptr)
            return refusal::unknown_key;
    }
    if (find_quarantine(request) != nullptr)
        return refusal::quarantined_prompt;
    if (requests_.size() >= settings_.max_open_requests)
        return refusal::overloaded;
    return std::nullopt;
}

void dispatcher::on(const caller_left& event)
{
    const auto found = requests_.find(event.id.value());
    if (found == requests_.end())
        return;
    log_decision(found->second, decision::caller_left);
    cancel_open_call(found->second);
    erase_request(event.id);
}

void dispatcher::on(const call_not_run& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr)
        return;
    // Another server's answer says nothing of the one that was called.
    if (event.cause != not_run_cause::wrong_server)
        apply_notice(*request, event.notice);
    if (event.cause == not_run_cause::refused)
        record_alive(*request->call);
    log_decision(*request, decision::not_run, to_string(event.cause));
    server_state* server = server_of(*request);
    const auto server_id = request->call->server;
    finish_call(*request);
    const bool was_sent = event.cause == not_run_cause::refused ||
                          event.cause == not_run_cause::wrong_server;
    if (!was_sent) {
        std::erase(request->tried, server_id);
        request->unreachable.push_back(server_id);
    }
    if (server != nullptr) {
        if (event.cause == not_run_cause::not_connected ||
            event.cause == not_run_cause::wrong_server)
            record_outcome(*server, &server_state::record_unreachable);
        else if (event.cause == not_run_cause::refused && !event.notice.load)
            record_outcome(*server, &server_state::record_failure);
    }
    if (!was_sent)
        place_request(*request, refusal::no_server);
    else if (!try_retry(*request))
        end_with_refusal(*request, refusal::overloaded);
}

void dispatcher::on(const call_broken& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr)
        return;
    log_broken(*request, event);
    // A server that sends what is no answer is alive.
    if (event.cause == broken_cause::connection_lost)
        record_broken_call(*request);
    const bool would_crash_again =
        request->call->answer_started_at == absl::InfinitePast() &&
        quarantine_.is_suspected(shared_parts(request->arrival_event.prompt));
    if (server_state* server = server_of(*request))
        record_outcome(*server, &server_state::record_failure);
    finish_call(*request);
    request->may_have_run = true;
    request->has_answer_started =
        request->has_answer_started || event.has_answer_started;
    if (!event.may_resume || would_crash_again || !may_retry(*request) ||
        !try_retry(*request))
        end_with_refusal(*request, refusal::outcome_unknown);
}

void dispatcher::on(const call_silent& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr || !may_retry(*request))
        return;
    const auto next = choose_retry_server(*request);
    if (!next)
        return;
    if (server_state* server = server_of(*request))
        record_outcome(*server, &server_state::record_failure);
    log_decision(*request, decision::silent);
    cancel_open_call(*request);
    request->may_have_run = true;
    send_to(*request, *next);
}

void dispatcher::on(const call_answer_started& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr)
        return;
    apply_notice(*request, event.notice);
    record_alive(*request->call);
    server_state* server = server_of(*request);
    if (server != nullptr && !request->call->is_prefilled) {
        server->record_prefill(request->call->uncached_tokens);
        request->call->is_prefilled = true;
        if (request->is_engine)
            record_first_event(*request, *server);
        if (event.status < first_server_error)
            record_outcome(*server, &server_state::record_success);
    }
    record_urgent_started(request->service, *request->call);
    request->call->answer_started_at = now_;
    request->has_answer_started = true;
    record_run_began(*request);
}

void dispatcher::on(const call_failed& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr)
        return;
    apply_notice(*request, event.notice);
    record_alive(*request->call);
    log_decision(*request, decision::failed, {}, event.status);
    if (server_state* server = server_of(*request))
        record_outcome(*server, &server_state::record_failure);
    const open_call call = *request->call;
    record_run_began(*request);
    finish_call(*request);
    request->may_have_run = true;
    if (may_retry(*request) && try_retry(*request))
        return;
    log_decision(*request, decision::passed_failure, {}, event.status);
    actions_->push_back(forward_error_answer{event.id, call.id});
    erase_request(event.id);
}

void dispatcher::on(const call_completed& event)
{
    open_request* request = find_request(event.id, event.call);
    if (request == nullptr)
        return;
    log_answered(*request, event);
    record_run_began(*request);
    if (event.longest_gap > request->route->gap_target)
        record_late_answer(*request);
    record_answer_times(*request);
    record_alive(*request->call);
    quarantine_.record_answer(now_,
                              shared_parts(request->arrival_event.prompt));
    if (request->is_engine)
        record_finished_stream(*request);
    record_learned_stream(*request, event);
    finish_call(*request);
    erase_request(event.id);
}

void dispatcher::on(const tick&)
{
    while (!deadlines_.empty() && deadlines_.begin()->first <= now_) {
        const auto id = deadlines_.begin()->second;
        const auto found = requests_.find(id);
        assert(found != requests_.end());
        open_request& request = found->second;
        if (request.call) {
            request.may_have_run = true;
            record_timeout(request);
        }
        cancel_open_call(request);
        end_with_refusal(request, refusal::time_over);
    }
}

void dispatcher::record_timeout(const open_request& request)
{
    record_learned_timeout(request);
    // An engine may be late because of its load. A plain service that has not
    // answered within the timeout of the route hangs.
    server_state* server = server_of(request);
    if (server != nullptr && !request.is_engine && !request.call->is_prefilled)
        record_outcome(*server, &server_state::record_failure);
}

void dispatcher::end_with_refusal(open_request& request, refusal cause)
{
    const bool not_run = !request.may_have_run && !request.has_answer_started;
    log_refused(request, cause);
    record_refused(request, cause);
    actions_->push_back(refuse{request.arrival_event.id, cause, not_run,
                               not_run ? retry_after_of(request, cause)
                                       : absl::ZeroDuration()});
    erase_request(request.arrival_event.id);
}

void dispatcher::finish_call(open_request& request)
{
    if (!request.call)
        return;
    demand_.record_call_ended(now_, request.service, request.call->is_urgent);
    record_urgent_started(request.service, *request.call);
    if (server_state* server = server_of(request)) {
        if (!request.call->is_prefilled)
            server->record_prefill(request.call->uncached_tokens);
        server->record_call_ended();
        changed_servers_.push_back(request.call->server);
    }
    request.call.reset();
}

void dispatcher::record_first_event(const open_request& request,
                                    server_state& server)
{
    record_learned_first_event(request);
    const absl::Duration elapsed = now_ - request.call->sent_at;
    server.record_first_event(request.call->expected_ms,
                              absl::ToDoubleMilliseconds(elapsed));
    engine_lanes& lanes = pool_of(request.service).lanes();
    lanes.record_first_event(
        lanes.lane_of(*request.route),
        absl::FDivDuration(elapsed, request.route->latency_target));
}

/// The work is the prefill of the prompt and the share of a slot in the steps
/// that make the events.
void dispatcher::record_engine_work(const open_request& request,
                                    std::uint32_t uncached_tokens)
{
    engine_lanes& lanes = pool_of(request.service).lanes();
    const stream_lane lane = lanes.lane_of(*request.route);
    const double prefill_ms =
        uncached_tokens / settings_.lanes.prefill_tokens_per_ms;
    lanes.record_work(now_, lane, prefill_ms + lanes.expected_stream_ms(lane));
}

void dispatcher::record_finished_stream(const open_request& request)
{
    const auto* service = request.table->find_service(request.service);
    const double slots = service != nullptr && service->engine
                             ? std::max<double>(service->engine->slots, 1)
                             : 1;
    engine_lanes& lanes = pool_of(request.service).lanes();
    lanes.record_stream(
        lanes.lane_of(*request.route),
        absl::ToDoubleMilliseconds(now_ - request.call->answer_started_at) /
            slots);
}

void dispatcher::cancel_open_call(open_request& request)
{
    if (!request.call)
        return;
    actions_->push_back(
        cancel_call{request.arrival_event.id, request.call->id});
    finish_call(request);
}

void dispatcher::erase_request(core::request_id id)
{
    const auto found = requests_.find(id.value());
    assert(found != requests_.end());
    deadlines_.erase({found->second.deadline, id.value()});
    if (found->second.is_waiting)
        admission_of(found->second.service).waiting.erase(now_, id);
    requests_.erase(found);
}

dispatcher::open_request* dispatcher::find_request(core::request_id id,
                                                   core::call_id call)
{
    const auto found = requests_.find(id.value());
    if (found == requests_.end())
        return nullptr;
    const auto& open = found->second.call;
    return open && open->id == call ? &found->second : nullptr;
}

server_state* dispatcher::server_of(const open_request& request)
{
    const auto found = servers_.find(request.call->server);
    return found == servers_.end() ? nullptr : found->second.get();
}

service_pool& dispatcher::pool_of(const routing::service_name& name)
{
    const auto [found, is_new] =
        pools_.try_emplace(name, settings_.lanes, settings_.placement);
    if (is_new && table_)
        found->second.lanes().set_routes(table_->settings(), name);
    return found->second;
}

retry_budget& dispatcher::retry_budget_of(const routing::service_name& name)
{
    return retry_budgets_.try_emplace(name, settings_.retry_budget)
        .first->second;
}

absl::Duration dispatcher::base_retry_after(refusal cause) const
{
    switch (cause) {
    case refusal::no_settings:
        return settings_.retry_after_without_settings;
    case refusal::no_server:
        return settings_.retry_after_without_server;
    case refusal::overloaded:
        return settings_.retry_after_overloaded;
    default:
        return settings_.retry_after_default;
    }
}

absl::Duration dispatcher::make_retry_after(refusal cause)
{
    // Jitter keeps callers that were refused together from retrying together.
    constexpr std::uint64_t steps = 1000;
    const double jitter = static_cast<double>(hooks_.random() % steps) / steps;
    return base_retry_after(cause) * (1 + jitter / 2);
}

} // namespace oriolefall::dispatch
