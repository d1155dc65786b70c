#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <ranges>
#include <utility>

namespace oriolefall::dispatch {

namespace {

/// Requests that are sent, and that are refused, in one try of a queue at most;
/// the next try follows within `queue_interval`.
constexpr int max_sends_per_try = 32;
constexpr int max_sheds_per_try = 64;

/// Prompt tokens that no server has in its cache: those of the last part, since
/// an affinity server has the others.
std::uint32_t private_tokens(std::span<const prompt_part> prompt)
{
    return prompt.empty() ? 0 : prompt.back().tokens;
}

} // namespace

bool dispatcher::uses_admission(const open_request& request) const
{
    const auto pool = pools_.find(request.service);
    return pool != pools_.end() && pool->second.learns_capacity();
}

dispatcher::service_admission&
dispatcher::admission_of(const routing::service_name& name)
{
    const auto [found, is_new] = admissions_.try_emplace(name);
    if (is_new)
        found->second.most_urgent_tier = most_urgent_tier(name);
    return found->second;
}

std::uint32_t
dispatcher::most_urgent_tier(const routing::service_name& name) const
{
    if (!table_)
        return 0;
    std::uint32_t workspace_priority =
        table_->settings().workspaces.empty() ? 0 : tier_count;
    for (const routing::workspace& each : table_->settings().workspaces)
        workspace_priority =
            std::min(workspace_priority, each.priority.value_or(0));
    std::uint32_t lowest = tier_count - 1;
    for (const routing::route& each : table_->settings().routes)
        if (std::ranges::find(each.targets, name,
                              &routing::route_target::service) !=
            each.targets.end())
            lowest = std::min(
                lowest, priority_at_server(
                            table_->requires_key(each) ? workspace_priority : 0,
                            each.priority));
    return lowest;
}

queued_request dispatcher::make_queued(const open_request& request)
{
    const auto& arrival = request.arrival_event;
    const auto& route = *request.route;
    const auto* typical = answer_times_.find(route.name);
    const placement_settings& costs = settings_.placement;
    absl::Duration start = typical != nullptr
                               ? typical->start
                               : absl::Milliseconds(costs.plain_call_ms);
    if (request.is_engine)
        start = absl::Milliseconds(costs.idle_first_event_ms +
                                   admission_of(request.service).mean_slowness *
                                       private_tokens(arrival.prompt) /
                                       costs.prefill_tokens_per_ms);
    const absl::Duration rest =
        typical != nullptr ? typical->rest : absl::ZeroDuration();

    queued_request queued;
    queued.id = arrival.id;
    if (request.workspace != nullptr)
        queued.workspace = request.workspace->name;
    queued.tier = std::min(server_priority(request), tier_count - 1);
    queued.latest_start = arrival.received_at + route.latency_target - start;
    queued.cost = absl::ToDoubleSeconds(start + rest);
    const absl::Time deadline =
        arrival.received_at +
        std::min(route.request_timeout, arrival.caller_timeout);
    queued.last_start = deadline - (start + rest);
    // A typical time beyond the whole timeout says nothing of this request, and
    // without history nothing is refused for an estimate.
    if (typical == nullptr || queued.last_start < arrival.received_at)
        queued.last_start = deadline;
    return queued;
}

void dispatcher::admit_request(open_request& request, refusal without_server)
{
    service_admission& admission = admission_of(request.service);
    const queued_request queued = make_queued(request);
    if (admission.waiting.size_up_to(queued.tier) == 0) {
        const auto choice = choose_admitting(
            request, {relative_priority(admission, queued.tier), false});
        if (choice.server) {
            admission.waiting.record_sent_past(queued.tier);
            send_to(request, *choice.server);
            return;
        }
        if (!choice.has_candidate) {
            refuse_without_server(request, without_server);
            return;
        }
    }
    request.expected_wait = admission.waiting.expected_wait(now_, queued);
    if (admission.waiting.is_hopeless(now_, queued)) {
        end_with_refusal(request, refusal::overloaded);
        return;
    }
    if (admission.waiting.empty())
        admission.next_try_at = now_ + settings_.queue_interval;
    request.queued_at = now_;
    request.is_waiting = true;
    request.tier = queued.tier;
    admission.waiting.push(now_, queued);
    log_queued(request);
}

std::uint32_t dispatcher::relative_priority(const service_admission& admission,
                                            std::uint32_t tier)
{
    return tier - std::min(tier, admission.most_urgent_tier);
}

double dispatcher::known_calls(const server_state& server,
                               double other_calls) const
{
    return std::max(server.estimated_calls(now_),
                    server.own_calls() + other_calls);
}

bool dispatcher::may_take(const service_admission& admission,
                          const server_state& server, double other_calls,
                          std::uint32_t tokens, admission_right right) const
{
    const double calls = known_calls(server, other_calls);
    const double slots = std::max(server.entry().slots, 1U);
    if (right.priority > 0 && !right.is_share_due)
        return calls < server.call_limit() * settings_.less_urgent_share &&
               server.admits(now_, tokens, right.priority);
    if (calls < slots * settings_.max_urgent_calls_per_slot)
        return true;
    // Servers run the most urgent of their waiting calls first. As long as no
    // such call of this instance waits there, the others are less urgent.
    return right.priority == 0 &&
           calls < slots * settings_.max_calls_per_slot &&
           !admission.urgent_unstarted.contains(server.entry().id);
}

bool dispatcher::has_room(const open_request& request, admission_right right,
                          bool& has_candidate)
{
    const service_admission& admission = admission_of(request.service);
    return pool_of(request.service).has_server([&](const server_state& each) {
        if (!is_eligible(request, each))
            return false;
        has_candidate = true;
        // The reports of others are looked up only where they decide.
        return may_take(admission, each, 0, 0, right) &&
               may_take(admission, each,
                        peer_load_.at_server(each.entry().id).calls, 0, right);
    });
}

double dispatcher::slot_wait_ms(const server_view& view,
                                double service_ms) const
{
    const double slots = std::max(view.server.entry().slots, 1U);
    const double calls = known_calls(view.server, view.other_calls);
    return std::max(calls + 1 - slots, 0.0) / slots * service_ms;
}

void dispatcher::record_urgent_sent(const open_request& request,
                                    open_call& call)
{
    if (!uses_admission(request))
        return;
    service_admission& admission = admission_of(request.service);
    call.is_urgent_unstarted =
        relative_priority(admission, server_priority(request)) == 0;
    if (call.is_urgent_unstarted)
        ++admission.urgent_unstarted[call.server];
}

void dispatcher::record_urgent_started(const routing::service_name& service,
                                       open_call& call)
{
    if (!std::exchange(call.is_urgent_unstarted, false))
        return;
    auto& unstarted = admission_of(service).urgent_unstarted;
    const auto found = unstarted.find(call.server);
    if (--found->second == 0)
        unstarted.erase(found);
}

dispatcher::admission_choice
dispatcher::choose_admitting(const open_request& request, admission_right right,
                             bool is_room_known)
{
    bool has_candidate = false;
    if (!is_room_known && !has_room(request, right, has_candidate))
        return {std::nullopt, has_candidate};
    const service_admission& admission = admission_of(request.service);
    const double service_ms = 1000 * make_queued(request).cost;
    const placement_query query = make_query(request);
    const auto views =
        pool_of(request.service).views(query, peer_load_, hooks_.random());
    // Candidates, stale ones, and those ejected or probed; a later group only
    // counts when the earlier ones are empty.
    struct group
    {
        const server_view* admitting = nullptr;
        double admitting_cost = std::numeric_limits<double>::infinity();
        double best_cost = std::numeric_limits<double>::infinity();
        bool is_empty = true;
    };
    std::array<group, 3> groups;
    for (const server_view& view : views) {
        if (!is_eligible(request, view.server))
            continue;
        const bool is_ejected = is_ejected_or_probed(view.server);
        group& owner =
            groups.at(is_ejected ? 2 : (view.server.is_stale ? 1 : 0));
        const double cost =
            hooks_.cost(query, view) + slot_wait_ms(view, service_ms);
        owner.is_empty = false;
        owner.best_cost = std::min(owner.best_cost, cost);
        if (cost >= owner.admitting_cost)
            continue;
        const auto tokens =
            expected_uncached_tokens(settings_.placement, query.prompt, view);
        if (may_take(admission, view.server, view.other_calls, tokens, right)) {
            owner.admitting = &view;
            owner.admitting_cost = cost;
        }
    }
    const auto found = std::ranges::find_if(
        groups, [](const group& each) { return !each.is_empty; });
    if (found == groups.end())
        return {};
    const absl::Duration waited =
        request.is_waiting ? now_ - request.queued_at : absl::ZeroDuration();
    const double max_cost =
        found->best_cost +
        absl::ToDoubleMilliseconds(settings_.max_extra_cost +
                                   waited * settings_.extra_cost_per_wait);
    if (found->admitting == nullptr || found->admitting_cost > max_cost)
        return {std::nullopt, true};
    return {*found->admitting, true};
}

void dispatcher::serve_waiting()
{
    for (auto& [name, admission] : admissions_) {
        if (admission.waiting.empty())
            continue;
        if (have_all_changed_ || now_ >= admission.next_try_at) {
            admission.next_try_at = now_ + settings_.queue_interval;
            admission.mean_slowness = pool_of(name).mean_slowness();
            shed_hopeless(admission);
            for (int i = 0; i < max_sends_per_try; ++i)
                if (!serve_next(admission, nullptr))
                    break;
            continue;
        }
        for (const auto& id : changed_servers_) {
            const auto found = servers_.find(id);
            if (found == servers_.end() ||
                found->second->entry().service != name)
                continue;
            for (int i = 0; i < max_sends_per_try; ++i)
                if (!serve_next(admission, found->second.get()))
                    break;
        }
    }
    changed_servers_.clear();
    have_all_changed_ = false;
}

void dispatcher::shed_hopeless(service_admission& admission)
{
    for (int i = 0; i < max_sheds_per_try; ++i) {
        const auto* found = admission.waiting.hopeless(now_);
        if (found == nullptr)
            return;
        end_with_refusal(requests_.at(found->id.value()), refusal::overloaded);
    }
}

bool dispatcher::serve_next(service_admission& admission,
                            const server_state* changed)
{
    const auto* due = admission.waiting.due_by_share();
    // The reserve for the most urgent tier must not keep out a tier whose share
    // is due.
    if (due != nullptr &&
        serve_request(admission, *due,
                      {relative_priority(admission, due->tier), true}, changed))
        return true;
    const auto* head = admission.waiting.most_urgent();
    return head != nullptr &&
           serve_request(admission, *head,
                         {relative_priority(admission, head->tier), false},
                         changed);
}

bool dispatcher::serve_request(service_admission& admission,
                               const queued_request& queued,
                               admission_right right,
                               const server_state* changed)
{
    open_request& request = requests_.at(queued.id.value());
    if (changed != nullptr &&
        (!is_eligible(request, *changed) ||
         !may_take(admission, *changed,
                   peer_load_.at_server(changed->entry().id).calls,
                   private_tokens(request.arrival_event.prompt), right)))
        return false;
    if (find_quarantine(request) != nullptr) {
        end_with_refusal(request, refusal::quarantined_prompt);
        return true;
    }
    if (now_ > queued.last_start) {
        end_with_refusal(request, refusal::overloaded);
        return true;
    }
    const auto choice = choose_admitting(request, right, changed != nullptr);
    if (!choice.has_candidate) {
        refuse_without_server(request, refusal::no_server);
        return true;
    }
    if (!choice.server)
        return false;
    request.is_waiting = false;
    admission.waiting.pop(now_, request.arrival_event.id);
    send_to(request, *choice.server);
    return true;
}

void dispatcher::record_answer_times(const open_request& request)
{
    const open_call& call = *request.call;
    // A resumed stream is only a part of an answer.
    if (request.tried.size() != 1 || !uses_admission(request))
        return;
    const absl::Time started_at = call.answer_started_at == absl::InfinitePast()
                                      ? now_
                                      : call.answer_started_at;
    answer_times_.record(request.route->name,
                         {started_at - call.sent_at, now_ - started_at});
}

absl::Duration dispatcher::retry_after_queue(const open_request& request)
{
    constexpr std::uint64_t steps = 1000;
    constexpr double max_share_of_remaining = 1.0 / 3;
    const queued_request queued = make_queued(request);
    const absl::Duration drained = std::clamp(
        admission_of(request.service)
            .waiting.drain_time(now_, queued.tier, queued.cost),
        settings_.min_retry_after_queue, settings_.max_retry_after_queue);
    const double jitter =
        0.5 + static_cast<double>(hooks_.random() % steps) / steps;
    const auto& arrival = request.arrival_event;
    const absl::Duration remaining =
        std::max(arrival.received_at + arrival.caller_timeout - now_,
                 absl::ZeroDuration());
    return std::min(drained * jitter, remaining * max_share_of_remaining);
}

void dispatcher::log_queued(const open_request& request)
{
    decision_record record = make_record(request, decision::queued);
    record.position = static_cast<std::uint32_t>(
        admission_of(request.service).waiting.size_up_to(request.tier));
    actions_->push_back(std::move(record));
}

} // namespace oriolefall::dispatch
