#include "oriolefall/dispatch/dispatcher.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace oriolefall::dispatch {

namespace {

bool is_same_quarantine(const quarantined_parts& left,
                        const quarantined_parts& right)
{
    return left.parts == right.parts;
}

quarantine_change make_change(const quarantined_parts& quarantine,
                              absl::Time now, bool is_quarantined)
{
    return {std::vector(quarantine.parts.begin(), quarantine.parts.end()),
            is_quarantined, quarantine.crashes,
            std::max(quarantine.ends_at - now, absl::ZeroDuration())};
}

} // namespace

void dispatcher::on(const crash_report_received& event)
{
    record_answers_in_progress();
    quarantine_.merge(now_, event.report);
}

void dispatcher::record_broken_call(const open_request& request)
{
    record_answers_in_progress();
    const open_call& call = *request.call;
    if (call.answer_started_at == absl::InfinitePast())
        quarantine_.record_crash(now_, {call.server, call.server_started_at_ms},
                                 shared_parts(request.arrival_event.prompt));
}

void dispatcher::record_answers_in_progress()
{
    const absl::Time latest_start = now_ - settings_.min_answer_time;
    for (const auto& [id, request] : requests_)
        if (request.call &&
            request.call->answer_started_at != absl::InfinitePast() &&
            request.call->answer_started_at <= latest_start)
            quarantine_.record_answer(
                request.call->answer_started_at,
                shared_parts(request.arrival_event.prompt));
}

void dispatcher::record_alive(const open_call& call)
{
    quarantine_.record_alive(now_, {call.server, call.server_started_at_ms});
}

const quarantined_parts*
dispatcher::find_quarantine(const open_request& request) const
{
    const auto* found =
        quarantine_.find(shared_parts(request.arrival_event.prompt));
    if (found == nullptr || now_ < found->ends_at)
        return found;
    return is_tried(*found, request) ? found : nullptr;
}

bool dispatcher::is_tried(const quarantined_parts& quarantine,
                          const open_request& except) const
{
    return std::ranges::any_of(requests_, [&](const auto& each) {
        const open_request& request = each.second;
        return request.arrival_event.id != except.arrival_event.id &&
               request.call &&
               quarantine_.find(shared_parts(request.arrival_event.prompt)) ==
                   &quarantine;
    });
}

absl::Duration dispatcher::retry_after_of(const open_request& request,
                                          refusal cause)
{
    if (cause == refusal::servers_limited)
        return make_retry_after(cause) +
               std::max(next_call_at(request) - now_, absl::ZeroDuration());
    if (cause == refusal::overloaded && uses_admission(request))
        return retry_after_queue(request);
    if (cause != refusal::quarantined_prompt)
        return make_retry_after(cause);
    const auto* found =
        quarantine_.find(shared_parts(request.arrival_event.prompt));
    return found == nullptr
               ? make_retry_after(cause)
               : std::max(found->ends_at - now_, make_retry_after(cause));
}

void dispatcher::apply_quarantine()
{
    quarantine_.expire(now_);
    if (std::exchange(applied_quarantine_revision_, quarantine_.revision()) !=
        quarantine_.revision()) {
        cancel_quarantined_calls();
        log_quarantine_changes();
    }
    report_crashes();
}

void dispatcher::cancel_quarantined_calls()
{
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : requests_) {
        const bool is_waiting =
            request.is_waiting ||
            (request.call &&
             request.call->answer_started_at == absl::InfinitePast());
        const auto* found =
            is_waiting
                ? quarantine_.find(shared_parts(request.arrival_event.prompt))
                : nullptr;
        if (found != nullptr && now_ < found->ends_at)
            affected.push_back(id);
    }
    for (const std::uint64_t id : affected) {
        open_request& request = requests_.at(id);
        request.may_have_run |= request.call.has_value();
        cancel_open_call(request);
        end_with_refusal(request, refusal::quarantined_prompt);
    }
}

void dispatcher::log_quarantine_changes()
{
    const auto log_missing = [this](const auto& from, const auto& in,
                                    bool is_quarantined) {
        for (const quarantined_parts& each : from)
            if (std::ranges::none_of(in, [&each](const auto& other) {
                    return is_same_quarantine(each, other);
                }))
                actions_->push_back(make_change(each, now_, is_quarantined));
    };
    log_missing(logged_quarantine_, quarantine_.all(), false);
    log_missing(quarantine_.all(), logged_quarantine_, true);
    logged_quarantine_ = quarantine_.all();
    if (logged_quarantine_.empty())
        next_quarantine_report_at_ = absl::InfiniteFuture();
    else if (next_quarantine_report_at_ == absl::InfiniteFuture())
        next_quarantine_report_at_ =
            now_ + settings_.quarantine_report_interval;
}

void dispatcher::report_crashes()
{
    if (quarantine_.has_changes() && now_ >= next_crash_report_at_) {
        next_crash_report_at_ = now_ + settings_.report_spacing;
        if (auto report = quarantine_.take_changes(now_))
            actions_->push_back(send_crash_report{*std::move(report)});
    }
    if (now_ < next_quarantine_report_at_)
        return;
    next_quarantine_report_at_ = now_ + settings_.quarantine_report_interval;
    actions_->push_back(send_crash_report{quarantine_.summary(now_)});
}

} // namespace oriolefall::dispatch
