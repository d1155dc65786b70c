#include "oriolefall/dispatch/dispatcher.hpp"

#include <utility>

namespace oriolefall::dispatch {

void dispatcher::report_load()
{
    if (requests_.empty() && now_ < report_at_)
        return;
    if (report_at_ == absl::InfiniteFuture())
        report_at_ = now_ + settings_.report_interval;
    if (now_ < report_at_)
        return;
    load_report report;
    for (const auto& [id, server] : servers_)
        if (server->own_calls() > 0)
            report.servers.push_back(
                {id, server->own_calls(),
                 static_cast<std::uint32_t>(server->own_backlog_tokens())});
    report_at_ = requests_.empty() ? absl::InfiniteFuture()
                                   : now_ + settings_.report_interval;
    out_->push_back(tell_load{std::move(report)});
}

decision_note dispatcher::describe(const open_request& request,
                                   decision what) const
{
    decision_note made;
    made.id = request.facts.id;
    made.caller_id = request.facts.caller_id;
    made.what = what;
    made.since_arrival = now_ - request.facts.received;
    made.servers_tried = static_cast<std::uint32_t>(request.tried.size());
    made.prompt_tokens = total_tokens(request.facts.prompt);
    if (request.route != nullptr)
        made.is_stream = request.route->is_stream;
    if (request.table)
        made.settings_version = request.table->settings().version;
    if (request.call) {
        made.server = request.call->server;
        made.tokens_to_read = request.call->tokens_to_read;
        made.expected = absl::Milliseconds(request.call->expected_ms);
    } else if (!request.tried.empty()) {
        made.server = request.tried.back();
    }
    return made;
}

void dispatcher::note(const open_request& request, decision what,
                      std::string_view cause, int status)
{
    decision_note made = describe(request, what);
    made.cause = cause;
    made.status = status;
    out_->push_back(std::move(made));
}

void dispatcher::note_sent(const open_request& request, const server_view& view)
{
    decision_note made = describe(request, decision::sent);
    made.own_calls = view.server.own_calls();
    made.other_calls = static_cast<std::uint32_t>(view.other_calls);
    out_->push_back(std::move(made));
}

void dispatcher::note_answer(const open_request& request,
                             const call_done& event)
{
    decision_note made = describe(request, decision::answered);
    made.first_event = request.call->answered_at - request.facts.received;
    made.longest_gap = event.longest_gap;
    made.events = event.events;
    out_->push_back(std::move(made));
}

void dispatcher::note_refused(const open_request& request, refusal cause)
{
    note(request, decision::refused, to_string(cause));
}

void dispatcher::judge(server_state& server,
                       void (server_state::*taking_note)(absl::Time))
{
    const bool was_out = server.is_ejected(now_);
    const bool was_on_probation = server.is_on_probation();
    (server.*taking_note)(now_);
    const bool is_out = server.is_ejected(now_);
    const bool is_back = was_on_probation && !server.is_on_probation();
    if (is_out == was_out && !is_back)
        return;
    out_->push_back(server_note{server.entry().id, is_out,
                                is_out ? server.ejected_until() - now_
                                       : absl::ZeroDuration(),
                                server.failed_percent()});
}

} // namespace oriolefall::dispatch
