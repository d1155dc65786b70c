#include "oriolefall/dispatch/dispatcher.hpp"

#include <string>
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

void dispatcher::note_answer(const open_request& request,
                             const call_done& event)
{
    const auto ms = [](absl::Duration time) {
        return std::to_string(absl::ToInt64Milliseconds(time));
    };
    const auto& call = *request.call;
    out_->push_back(decision_note{
        request.facts.id, request.facts.caller_id, "answered",
        "server=" + call.server.value() +
            " priority=" + std::to_string(request.route->priority) +
            " tokens=" + std::to_string(total_tokens(request.facts.prompt)) +
            " to_read=" + std::to_string(call.tokens_to_read) +
            " first_ms=" + ms(call.answered_at - request.facts.received) +
            " gap_ms=" + ms(event.longest_gap) +
            " events=" + std::to_string(event.events),
        false});
}

void dispatcher::note(const open_request& request, std::string outcome,
                      bool is_failure)
{
    std::string inputs = "servers=" + std::to_string(request.tried.size());
    if (request.table)
        inputs +=
            " settings=" + std::to_string(request.table->settings().version);
    if (request.call)
        inputs += " server=" + request.call->server.value();
    else if (!request.tried.empty())
        inputs += " server=" + request.tried.back().value();
    out_->push_back(decision_note{request.facts.id, request.facts.caller_id,
                                  std::move(outcome), std::move(inputs),
                                  is_failure});
}

} // namespace oriolefall::dispatch
