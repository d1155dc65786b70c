#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// From this status on an answer tells a fault of the server.
constexpr int first_server_error = 500;

} // namespace

dispatcher::dispatcher(dispatch_settings settings, dispatch_hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)),
      instances_(settings_.least_instances)
{
    assert(hooks_.cost && hooks_.random);
}

void dispatcher::step(absl::Time now, const event& event,
                      std::vector<action>& out)
{
    assert(now >= now_);
    now_ = now;
    out_ = &out;
    others_.refresh(now);
    std::visit([this](const auto& value) { on(value); }, event);
    report_load();
    out_ = nullptr;
}

absl::Time dispatcher::next_tick() const
{
    return ends_.empty() ? report_at_
                         : std::min(report_at_, ends_.begin()->first);
}

std::size_t dispatcher::open_requests() const
{
    return requests_.size();
}

void dispatcher::on(const arrival& event)
{
    open_request request;
    request.facts = event;
    request.table = table_;
    if (const auto cause = refuse_at_once(request)) {
        note_refused(request, *cause);
        const bool is_promise =
            *cause != refusal::unknown_route && *cause != refusal::unknown_key;
        out_->push_back(
            refuse{event.id, *cause, is_promise,
                   is_promise ? come_back(*cause) : absl::ZeroDuration()});
        return;
    }
    const auto& route = *request.route;
    request.service = choose_service(route);
    request.ends_at =
        event.received + std::min(route.time_limit + settings_.limit_grace,
                                  event.patience + settings_.limit_grace);
    budget_of(request.service).note_request(now_);
    const auto* service = table_->find_service(request.service);
    request.is_engine = service != nullptr && service->engine.has_value();
    const auto [place_in_map, is_new] =
        requests_.emplace(event.id.value(), std::move(request));
    assert(is_new);
    open_request& held = place_in_map->second;
    if (held.ends_at != absl::InfiniteFuture())
        ends_.emplace(held.ends_at, event.id.value());
    place(held, refusal::no_server);
}

std::optional<refusal> dispatcher::refuse_at_once(open_request& request)
{
    if (!table_ || !servers_known_)
        return refusal::no_settings;
    request.route = table_->find_route(request.facts.host, request.facts.path);
    if (request.route == nullptr)
        return refusal::unknown_route;
    if (table_->asks_for_key(*request.route)) {
        request.workspace = table_->find_workspace(request.facts.api_key);
        if (request.workspace == nullptr)
            return refusal::unknown_key;
    }
    if (requests_.size() >= settings_.most_open)
        return refusal::overloaded;
    return std::nullopt;
}

void dispatcher::on(const caller_left& event)
{
    const auto found = requests_.find(event.id.value());
    if (found == requests_.end())
        return;
    note(found->second, decision::caller_left);
    cancel(found->second);
    forget(event.id);
}

void dispatcher::on(const call_not_run& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr)
        return;
    note_load(*request, event.load);
    note(*request, decision::not_run, to_string(event.cause));
    server_state* server = server_of(*request);
    const auto server_id = request->call->server;
    close_call(*request);
    const bool was_sent = event.cause == not_run_cause::refused ||
                          event.cause == not_run_cause::wrong_server;
    if (!was_sent) {
        std::erase(request->tried, server_id);
        request->unreachable.push_back(server_id);
    }
    if (server != nullptr) {
        if (event.cause == not_run_cause::not_connected ||
            event.cause == not_run_cause::wrong_server)
            judge(*server, &server_state::note_unreachable);
        else if (event.cause == not_run_cause::refused && !event.load)
            judge(*server, &server_state::note_failure);
    }
    if (!was_sent)
        place(*request, refusal::no_server);
    else if (!place_again(*request))
        end(*request, refusal::overloaded);
}

void dispatcher::on(const call_broken& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr)
        return;
    note(*request, decision::broken, to_string(event.cause));
    if (server_state* server = server_of(*request))
        judge(*server, &server_state::note_failure);
    close_call(*request);
    request->may_have_run = true;
    request->answer_begun = request->answer_begun || event.answer_begun;
    if (!may_repeat(*request) || !place_again(*request))
        end(*request, refusal::outcome_unknown);
}

void dispatcher::on(const call_silent& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr || !may_repeat(*request))
        return;
    const auto next = choose_for_repeat(*request);
    if (!next)
        return;
    if (server_state* server = server_of(*request))
        judge(*server, &server_state::note_failure);
    note(*request, decision::silent);
    cancel(*request);
    request->may_have_run = true;
    send(*request, *next);
}

void dispatcher::on(const call_answered& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr)
        return;
    note_load(*request, event.load);
    server_state* server = server_of(*request);
    if (server != nullptr && !request->call->is_read) {
        server->note_read(request->call->tokens_to_read);
        request->call->is_read = true;
        if (request->is_engine)
            server->note_first_event(
                request->call->expected_ms,
                absl::ToDoubleMilliseconds(now_ - request->call->sent_at));
        if (event.status < first_server_error)
            judge(*server, &server_state::note_success);
    }
    request->call->answered_at = now_;
    request->answer_begun = true;
}

void dispatcher::on(const call_failed& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr)
        return;
    note_load(*request, event.load);
    note(*request, decision::failed, {}, event.status);
    if (server_state* server = server_of(*request))
        judge(*server, &server_state::note_failure);
    const open_call call = *request->call;
    close_call(*request);
    request->may_have_run = true;
    if (may_repeat(*request) && place_again(*request))
        return;
    note(*request, decision::passed_failure, {}, event.status);
    out_->push_back(pass_failure{event.id, call.id});
    forget(event.id);
}

void dispatcher::on(const call_done& event)
{
    open_request* request = find(event.id, event.call);
    if (request == nullptr)
        return;
    note_answer(*request, event);
    close_call(*request);
    forget(event.id);
}

void dispatcher::on(const tick&)
{
    while (!ends_.empty() && ends_.begin()->first <= now_) {
        const auto id = ends_.begin()->second;
        const auto found = requests_.find(id);
        assert(found != requests_.end());
        open_request& request = found->second;
        if (request.call) {
            request.may_have_run = true;
            note_late(request);
        }
        cancel(request);
        end(request, refusal::time_over);
    }
}

void dispatcher::note_late(const open_request& request)
{
    // An engine may be late for its load; a plain service that has not
    // answered by the limit of the route hangs.
    server_state* server = server_of(request);
    if (server != nullptr && !request.is_engine && !request.call->is_read)
        judge(*server, &server_state::note_failure);
}

void dispatcher::end(open_request& request, refusal cause)
{
    const bool not_run = !request.may_have_run && !request.answer_begun;
    note_refused(request, cause);
    out_->push_back(refuse{request.facts.id, cause, not_run,
                           not_run ? come_back(cause) : absl::ZeroDuration()});
    forget(request.facts.id);
}

void dispatcher::close_call(open_request& request)
{
    if (!request.call)
        return;
    if (server_state* server = server_of(request)) {
        if (!request.call->is_read)
            server->note_read(request.call->tokens_to_read);
        server->note_ended();
    }
    request.call.reset();
}

void dispatcher::cancel(open_request& request)
{
    if (!request.call)
        return;
    out_->push_back(cancel_call{request.facts.id, request.call->id});
    close_call(request);
}

void dispatcher::forget(core::request_id id)
{
    const auto found = requests_.find(id.value());
    assert(found != requests_.end());
    ends_.erase({found->second.ends_at, id.value()});
    requests_.erase(found);
}

dispatcher::open_request* dispatcher::find(core::request_id id,
                                           core::call_id call)
{
    const auto found = requests_.find(id.value());
    if (found == requests_.end())
        return nullptr;
    const auto& held = found->second.call;
    return held && held->id == call ? &found->second : nullptr;
}

server_state* dispatcher::server_of(const open_request& request)
{
    const auto found = servers_.find(request.call->server);
    return found == servers_.end() ? nullptr : found->second.get();
}

void dispatcher::note_load(const open_request& request,
                           const std::optional<server_load>& load)
{
    server_state* server = server_of(request);
    if (server != nullptr && load)
        server->note_load(now_, *load);
}

service_pool& dispatcher::pool_of(const routing::service_name& name)
{
    return pools_.try_emplace(name).first->second;
}

repeat_budget& dispatcher::budget_of(const routing::service_name& name)
{
    return budgets_.try_emplace(name, settings_.repeats).first->second;
}

absl::Duration dispatcher::come_back_base(refusal cause) const
{
    switch (cause) {
    case refusal::no_settings:
        return settings_.come_back_without_settings;
    case refusal::no_server:
        return settings_.come_back_without_server;
    case refusal::overloaded:
        return settings_.come_back_overloaded;
    default:
        return settings_.come_back_otherwise;
    }
}

absl::Duration dispatcher::come_back(refusal cause)
{
    // Spread, so that callers refused together don't return together.
    constexpr std::uint64_t steps = 1000;
    const double part = static_cast<double>(hooks_.random() % steps) / steps;
    return come_back_base(cause) * (1 + part / 2);
}

} // namespace oriolefall::dispatch
