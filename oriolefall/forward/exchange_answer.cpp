#include "oriolefall/forward/exchange.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/forward/answer_form.hpp"
#include "oriolefall/net/header_fields.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::forward {

namespace {

constexpr unsigned first_server_error = 500;
} // namespace

bool exchange::on_head(const answer_head& head)
{
    head_info_ = dependencies_.protocol.read_answer(request_, head);
    if (head_info_.addressed_to == addressee::another_request)
        return false;
    answer_head_ = head;
    const std::string_view fault = find_fault(head);
    if (!fault.empty()) {
        on_malformed(fault);
        return true;
    }
    if (!head_info_.wrong_server)
        record_restrictions();
    const auto keep_alive =
        parse_keep_alive_timeout(net::field_value(head, "Keep-Alive"));
    if (keep_alive && server_)
        server_->set_keep_alive_timeout(*keep_alive);
    if (head_info_.not_run || head_info_.wrong_server) {
        forwarding_ = forwarding::discarded;
    } else if (is_success(head.result_int()) && expects_event_stream()) {
        forwarding_ = forwarding::events;
    } else if (is_answer_started_) {
        // Part of an earlier answer has been written already; only a stream
        // can continue it.
        on_failed(call_error::connection_lost);
    } else {
        forwarding_ = forwarding::buffered;
    }
    return true;
}

std::string_view exchange::find_fault(const answer_head& head) const
{
    const bool may_be_late = server_ && server_->has_carried_other_answers();
    if (head_info_.addressed_to == addressee::unnamed && may_be_late)
        return "unnamed_answer";
    return find_head_fault(request_, head, head_info_, expects_event_stream());
}

bool exchange::expects_event_stream() const
{
    return current_call_->is_stream && request_.method() != http::verb::head;
}

void exchange::on_body(std::string_view bytes)
{
    switch (forwarding_) {
    case forwarding::events:
        on_stream_body(bytes);
        break;
    case forwarding::buffered:
        buffered_body_ += bytes;
        if (buffered_body_.size() >
            dependencies_.settings.max_buffered_answer_bytes)
            start_streamed_answer();
        break;
    case forwarding::streamed:
        write_body(bytes);
        break;
    case forwarding::discarded:
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > dependencies_.settings.max_buffered_answer_bytes)
            report_refused();
        break;
    default:
        break;
    }
}

void exchange::on_done(answer_end end)
{
    const core::call_id call = current_call_->call;
    server_.reset();
    if (forwarding_ == forwarding::discarded) {
        report_refused();
        return;
    }
    if (forwarding_ == forwarding::events) {
        finish_event_stream(end);
        return;
    }
    const int status = static_cast<int>(answer_head_.result_int());
    if (forwarding_ == forwarding::buffered) {
        if (answer_head_.result_int() >= first_server_error &&
            current_call_->holds_error_answers) {
            dependencies_.report(
                dispatch::call_failed{id_, call, status, head_info_.notice});
            return;
        }
        dependencies_.report(dispatch::call_answer_started{id_, call, status,
                                                           head_info_.notice});
        forward_buffered_answer();
    } else if (framing_.chunked) {
        caller_->write(std::string(last_chunk));
    }
    dependencies_.report(
        dispatch::call_completed{id_, call, 0, absl::ZeroDuration()});
    finish(framing_.length || framing_.chunked);
}

void exchange::on_stream_body(std::string_view bytes)
{
    const split_result split = splitter_.feed(bytes);
    forward_events(split.events);
    if (!split.fault)
        return;
    // One of the events passed on may be what doesn't belong.
    if (split.fault == event_fault::out_of_order && splitter_.event_count() > 0)
        may_resume_ = false;
    on_malformed(to_string(*split.fault));
}

void exchange::finish_event_stream(answer_end end)
{
    const bool is_empty =
        end == answer_end::close && splitter_.event_count() == 0;
    if (is_empty || splitter_.is_inside_event()) {
        // The server stopped in the middle of its answer.
        report_broken(dispatch::broken_cause::connection_lost,
                      is_empty ? "no_event" : "unfinished_event");
        return;
    }
    if (!is_answer_started_)
        start_event_stream();
    if (framing_.chunked)
        caller_->write(std::string(last_chunk));
    dependencies_.report(dispatch::call_completed{
        id_, current_call_->call, splitter_.event_count(), longest_gap_});
    finish(framing_.chunked);
}

void exchange::start_event_stream()
{
    framing_ = {std::nullopt, caller_->supports_chunked()};
    caller_->write(format_caller_head(answer_head_, framing_,
                                      caller_->closes_after_answer() ||
                                          !framing_.chunked));
    is_answer_started_ = true;
}

void exchange::forward_events(const std::string& events)
{
    if (events.empty())
        return;
    const absl::Time now = core::monotonic_now();
    if (last_event_at_ == absl::InfiniteFuture())
        start_stall_timer(current_call_->gap_timeout);
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
    last_event_at_ = now;
    if (!is_answer_started_)
        start_event_stream();
    if (!std::exchange(has_reported_answer_, true))
        dependencies_.report(dispatch::call_answer_started{
            id_, current_call_->call,
            static_cast<int>(answer_head_.result_int()), head_info_.notice});
    write_body(events);
}

void exchange::start_streamed_answer()
{
    forwarding_ = forwarding::streamed;
    const auto content_length = answer_head_[http::field::content_length];
    framing_ = {std::nullopt, caller_->supports_chunked()};
    if (!content_length.empty())
        framing_.length = std::stoull(std::string(content_length));
    if (framing_.length)
        framing_.chunked = false;
    const bool is_framed = framing_.length || framing_.chunked;
    caller_->write(format_caller_head(
        answer_head_, framing_, caller_->closes_after_answer() || !is_framed));
    is_answer_started_ = true;
    dependencies_.report(dispatch::call_answer_started{
        id_, current_call_->call, static_cast<int>(answer_head_.result_int()),
        head_info_.notice});
    write_body(std::exchange(buffered_body_, {}));
}

void exchange::forward_buffered_answer()
{
    framing_ = {buffered_body_.size(), false};
    std::string text = format_caller_head(answer_head_, framing_,
                                          caller_->closes_after_answer());
    text += buffered_body_;
    buffered_body_.clear();
    caller_->write(std::move(text));
    is_answer_started_ = true;
}

void exchange::write_body(std::string_view bytes)
{
    if (framing_.chunked)
        caller_->write(format_chunk(bytes));
    else
        caller_->write(std::string(bytes));
    apply_backpressure();
}

void exchange::apply_backpressure()
{
    if (server_ &&
        caller_->unsent_bytes() > dependencies_.settings.high_water_bytes)
        server_->pause();
}

} // namespace oriolefall::forward
