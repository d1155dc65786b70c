#include "bench/replay_baseline.hpp"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <variant>

namespace oriolefall::bench {

namespace {

const std::string& wanted_by(const core::request& request)
{
    return request.model.value().empty() ? request.service_class.value()
                                         : request.model.value();
}

} // namespace

baseline_policy::baseline_policy(baseline_choice choose)
    : choose_(std::move(choose))
{
}

void baseline_policy::step(absl::Time now, const decision::event& event,
                           std::vector<decision::action>& out)
{
    std::visit([&](const auto& some) { on(now, some, out); }, event);
    if (!std::holds_alternative<decision::call_progressed>(event) &&
        !std::holds_alternative<decision::load_reported>(event))
        dispatch(now, out);
}

absl::Time baseline_policy::next_tick() const
{
    return next_deadline_;
}

void baseline_policy::on(absl::Time now, const decision::request_arrived& event,
                         actions&)
{
    const auto found =
        std::ranges::find(table_->classes, event.request.service_class,
                          &core::service_class::name);
    requests_.emplace(event.request.id,
                      request_record{.request = event.request,
                                     .deadline = now + found->deadline,
                                     .idempotent = found->idempotent,
                                     .max_attempts = found->max_attempts});
    queue_.push_back(event.request.id);
}

void baseline_policy::on(absl::Time, const decision::caller_gone& event,
                         actions& out)
{
    const auto found = requests_.find(event.request);
    if (found == requests_.end())
        return;
    found->second.caller_gone = true;
    if (found->second.call)
        out.emplace_back(decision::cancel_call{*found->second.call});
    else
        finish(event.request, core::not_run{core::reason::caller_gone}, out);
}

void baseline_policy::on(absl::Time, const decision::call_progressed& event,
                         actions&)
{
    const auto found = calls_.find(event.call);
    if (found != calls_.end())
        found->second.has_byte = true;
}

void baseline_policy::on(absl::Time, const decision::call_ended& event,
                         actions& out)
{
    const auto found = calls_.find(event.call);
    if (found == calls_.end())
        return;
    const call_record call = found->second;
    calls_.erase(found);
    --servers_[call.server].in_flight;
    request_record& record = requests_.at(call.request);
    record.call.reset();
    const bool refused = std::holds_alternative<core::not_run>(event.verdict);
    record.may_have_run = record.may_have_run || !refused;
    const bool safe = refused || (record.idempotent && !call.has_byte);
    if (std::holds_alternative<core::ran>(event.verdict) ||
        record.caller_gone || !safe || record.attempts >= record.max_attempts) {
        core::verdict verdict = event.verdict;
        if (refused && record.may_have_run)
            verdict = core::may_have_run{core::reason::attempts_spent};
        finish(call.request, verdict, out);
        return;
    }
    queue_.push_front(call.request);
}

void baseline_policy::on(absl::Time, const decision::table_applied& event,
                         actions&)
{
    table_ = event.table;
    for (const core::backend_server& server : table_->servers)
        servers_[server.id.value()].server = server;
}

void baseline_policy::dispatch(absl::Time now, actions& out)
{
    std::deque<core::request_id> waiting;
    std::swap(waiting, queue_);
    next_deadline_ = absl::InfiniteFuture();
    absl::flat_hash_set<std::string> full;
    for (const core::request_id id : waiting) {
        const auto found = requests_.find(id);
        if (found == requests_.end())
            continue;
        request_record& record = found->second;
        const std::string& wanted = wanted_by(record.request);
        if (now >= record.deadline) {
            finish(id, core::not_run{core::reason::deadline_passed}, out);
            continue;
        }
        if (!full.contains(wanted) && try_start(record, out))
            continue;
        full.insert(wanted);
        next_deadline_ = std::min(next_deadline_, record.deadline);
        queue_.push_back(id);
    }
}

bool baseline_policy::try_start(request_record& record, actions& out)
{
    std::vector<baseline_server*> able;
    for (const core::backend_server& server : table_->servers)
        if (!server.leaving &&
            std::ranges::find(server.serves, wanted_by(record.request)) !=
                server.serves.end())
            able.push_back(&servers_[server.id.value()]);
    if (able.empty())
        return false;
    const auto chosen = choose_(able);
    if (!chosen)
        return false;
    baseline_server& server = *able[*chosen];
    const core::call_id call(next_call_++);
    ++server.in_flight;
    ++record.attempts;
    record.call = call;
    calls_.emplace(call,
                   call_record{record.request.id, server.server.id.value()});
    out.emplace_back(decision::start_call{.call = call,
                                          .request = record.request.id,
                                          .server = server.server.id,
                                          .deadline = record.deadline});
    return true;
}

void baseline_policy::finish(core::request_id request,
                             const core::verdict& verdict, actions& out)
{
    requests_.erase(request);
    out.emplace_back(decision::finish_request{request, verdict});
}

} // namespace oriolefall::bench
