#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriolefall::dispatch {

namespace {

constexpr double permille = 1000;

} // namespace

void dispatcher::report_load()
{
    if (requests_.empty() && now_ < next_report_at_)
        return;
    if (next_report_at_ == absl::InfiniteFuture())
        next_report_at_ = now_ + settings_.report_interval;
    if (now_ < next_report_at_)
        return;
    load_report report;
    for (const auto& [id, server] : servers_)
        if (server->own_calls() > 0)
            report.servers.push_back(
                {id, server->own_calls(),
                 static_cast<std::uint32_t>(server->own_backlog_tokens())});
    for (auto& [name, pool] : pools_) {
        engine_lanes& lanes = pool.lanes();
        if (!lanes.is_divided())
            continue;
        lanes.set_peer_share(peer_load_.mean_lane_share(name));
        report.lanes.push_back(
            {name,
             static_cast<std::uint32_t>(permille * lanes.short_pause_share())});
    }
    report.observations = make_observations();
    next_report_at_ = requests_.empty() ? absl::InfiniteFuture()
                                        : now_ + settings_.report_interval;
    actions_->push_back(send_load_report{std::move(report)});
}

decision_record dispatcher::make_record(const open_request& request,
                                        decision outcome) const
{
    decision_record record;
    record.id = request.arrival_event.id;
    record.caller_request_id = request.arrival_event.caller_request_id;
    record.outcome = outcome;
    record.since_arrival = now_ - request.arrival_event.received_at;
    record.servers_tried = static_cast<std::uint32_t>(request.tried.size());
    record.prompt_tokens = total_tokens(request.arrival_event.prompt);
    if (request.route != nullptr)
        record.is_stream = request.route->is_stream;
    if (request.table)
        record.settings_version = request.table->settings().version;
    if (request.queued_at != absl::InfinitePast()) {
        const auto& waiting = admissions_.at(request.service).waiting;
        const bool leaves = request.is_waiting && ends_request(outcome);
        record.service = request.service;
        record.waiting =
            static_cast<std::uint32_t>(waiting.size() - (leaves ? 1 : 0));
        record.tier = request.tier;
        record.waited = now_ - request.queued_at;
    }
    record.expected_wait = request.expected_wait;
    if (request.call) {
        record.server = request.call->server;
        record.uncached_tokens = request.call->uncached_tokens;
        record.expected_time = absl::Milliseconds(request.call->expected_ms);
    } else if (!request.tried.empty()) {
        record.server = request.tried.back();
    }
    return record;
}

void dispatcher::log_decision(const open_request& request, decision outcome,
                              std::string_view cause, int status)
{
    decision_record record = make_record(request, outcome);
    record.cause = cause;
    record.status = status;
    actions_->push_back(std::move(record));
}

void dispatcher::log_sent(const open_request& request, const server_view& view)
{
    decision_record record = make_record(request, decision::sent);
    record.own_calls = view.server.own_calls();
    record.other_calls = static_cast<std::uint32_t>(view.other_calls);
    actions_->push_back(std::move(record));
}

void dispatcher::log_answered(const open_request& request,
                              const call_completed& event)
{
    decision_record record = make_record(request, decision::answered);
    record.first_event_time =
        request.call->answer_started_at - request.arrival_event.received_at;
    record.longest_gap = event.longest_gap;
    record.events = event.events;
    actions_->push_back(std::move(record));
}

void dispatcher::log_broken(const open_request& request,
                            const call_broken& event)
{
    decision_record record = make_record(request, decision::broken);
    record.cause = to_string(event.cause);
    record.broken = event.details;
    record.had_answer_begun =
        request.call->answer_started_at != absl::InfinitePast();
    std::ranges::transform(shared_parts(request.arrival_event.prompt),
                           std::back_inserter(record.shared_parts),
                           &prompt_part::id);
    actions_->push_back(std::move(record));
}

void dispatcher::log_refused(const open_request& request, refusal cause)
{
    log_decision(request, decision::refused, to_string(cause));
}

void dispatcher::record_outcome(server_state& server,
                                void (server_state::*record)(absl::Time))
{
    const bool was_ejected = server.is_ejected(now_);
    const bool was_on_probation = server.is_on_probation();
    (server.*record)(now_);
    const bool is_ejected = server.is_ejected(now_);
    const bool is_readmitted = was_on_probation && !server.is_on_probation();
    if (is_ejected == was_ejected && !is_readmitted)
        return;
    actions_->push_back(ejection_change{
        server.entry().id, is_ejected,
        is_ejected ? server.ejected_until() - now_ : absl::ZeroDuration(),
        server.failed_percent()});
}

} // namespace oriolefall::dispatch
