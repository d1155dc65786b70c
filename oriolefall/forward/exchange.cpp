#include "oriolefall/forward/exchange.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/net/header_fields.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::forward {

namespace {

constexpr unsigned first_server_error = 500;
constexpr unsigned success_class = 2;

bool is_event_stream(const answer_head& head)
{
    return net::field_value(head, "Content-Type")
        .starts_with("text/event-stream");
}

bool is_success(unsigned status)
{
    return status / 100 == success_class;
}

} // namespace

exchange::exchange(core::request_id id, caller_request request,
                   std::shared_ptr<caller_connection> caller,
                   dependencies dependencies)
    : id_(id), request_(std::move(request)),
      body_(std::make_shared<const std::string>(std::move(request_.body()))),
      caller_(std::move(caller)), dependencies_(std::move(dependencies)),
      stall_timer_(dependencies_.context)
{
}

void exchange::execute(const dispatch::send_call& action)
{
    if (is_finished_)
        return;
    current_call_ = action;
    forwarding_ = forwarding::undecided;
    buffered_body_.clear();
    has_reported_answer_ = false;
    splitter_ = event_splitter(splitter_.last_event_id());
    discarded_bytes_ = 0;
    head_info_ = {};
    sent_at_ = core::monotonic_now();
    last_event_at_ = absl::InfiniteFuture();
    if (!may_send()) {
        report_not_run(dispatch::not_run_cause::withheld);
        return;
    }
    start_stall_timer(action.first_event_timeout);
    server_ = dependencies_.servers.start(action, body_,
                                          make_call_hooks(action.call));
    if (server_ == nullptr)
        report_not_run(dispatch::not_run_cause::no_room);
}

void exchange::execute(const dispatch::cancel_call& action)
{
    if (current_call_ && current_call_->call == action.call)
        abort_call();
}

void exchange::execute(const dispatch::forward_error_answer&)
{
    if (is_finished_)
        return;
    forward_buffered_answer();
    finish(true);
}

void exchange::execute(const dispatch::refuse& action)
{
    if (is_finished_)
        return;
    abort_call();
    if (is_answer_started_) {
        caller_->abort();
        finish(false);
        return;
    }
    caller_->write(format_refusal(action, caller_->closes_after_answer()));
    finish(true);
}

void exchange::on_caller_disconnected()
{
    if (is_finished_)
        return;
    abort_call();
    dependencies_.report(dispatch::caller_left{id_});
    finish(false);
}

void exchange::on_caller_drained()
{
    if (server_)
        server_->resume();
}

void exchange::abort()
{
    if (is_finished_)
        return;
    abort_call();
    caller_->abort();
    finish(false);
}

std::size_t exchange::request_body_bytes() const
{
    return body_->size();
}

call_hooks exchange::make_call_hooks(core::call_id call)
{
    const auto run_if_current = [weak = weak_from_this(), call](auto handler) {
        const auto self = weak.lock();
        if (self && self->current_call_ && self->current_call_->call == call)
            handler(*self);
    };
    call_hooks hooks;
    hooks.may_send = [self = shared_from_this()] { return self->may_send(); };
    hooks.format_request_head = [self = shared_from_this()] {
        return self->format_request_head();
    };
    hooks.on_head = [run_if_current](const answer_head& head) {
        bool is_accepted = true;
        run_if_current(
            [&](exchange& self) { is_accepted = self.on_head(head); });
        return is_accepted;
    };
    hooks.on_body = [run_if_current](std::string_view bytes) {
        run_if_current([bytes](exchange& self) { self.on_body(bytes); });
    };
    hooks.on_done = [run_if_current](answer_end end) {
        run_if_current([end](exchange& self) { self.on_done(end); });
    };
    hooks.on_failed = [run_if_current](call_error error) {
        run_if_current([error](exchange& self) { self.on_failed(error); });
    };
    return hooks;
}

std::string exchange::format_request_head()
{
    call_additions additions;
    additions.time_left = current_call_->deadline - core::monotonic_now();
    additions.body_bytes = body_->size();
    if (is_answer_started_ && splitter_.last_event_id())
        additions.last_event_id = std::to_string(*splitter_.last_event_id());
    return dependencies_.protocol.write_request(request_, *current_call_,
                                                additions);
}

bool exchange::may_send() const
{
    const dispatch::server_incarnation server{
        current_call_->server, current_call_->server_started_at_ms};
    return dependencies_.words.of(server).takes_calls(core::monotonic_now());
}

void exchange::record_words()
{
    const dispatch::server_notice& notice = head_info_.notice;
    const dispatch::server_incarnation server{
        current_call_->server, current_call_->server_started_at_ms};
    if (notice.is_leaving)
        dependencies_.words.set_leaving(server);
    if (notice.quiet_time)
        dependencies_.words.set_quiet(server, core::monotonic_now() +
                                                  *notice.quiet_time);
}

bool exchange::on_head(const answer_head& head)
{
    head_info_ = dependencies_.protocol.read_answer(request_, head);
    if (!head_info_.matches_request)
        return false;
    answer_head_ = head;
    if (!head_info_.wrong_server)
        record_words();
    const auto keep_alive =
        parse_keep_alive_timeout(net::field_value(head, "Keep-Alive"));
    if (keep_alive && server_)
        server_->set_keep_alive_timeout(*keep_alive);
    const unsigned status = head.result_int();
    if (head_info_.not_run || head_info_.wrong_server) {
        forwarding_ = forwarding::discarded;
    } else if (is_success(status) && !head_info_.is_signed) {
        on_failed(call_error::malformed);
    } else if (is_success(status) && current_call_->is_stream &&
               is_event_stream(head)) {
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

void exchange::on_body(std::string_view bytes)
{
    switch (forwarding_) {
    case forwarding::events:
        forward_events(splitter_.feed(bytes));
        if (splitter_.pending_bytes() > dependencies_.settings.max_event_bytes)
            on_failed(call_error::malformed);
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

void exchange::report_not_run(dispatch::not_run_cause cause)
{
    const core::call_id call = current_call_->call;
    abort_call();
    dependencies_.report(
        dispatch::call_not_run{id_, call, cause, head_info_.notice});
}

void exchange::report_refused()
{
    report_not_run(head_info_.wrong_server
                       ? dispatch::not_run_cause::wrong_server
                       : dispatch::not_run_cause::refused);
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

void exchange::finish_event_stream(answer_end end)
{
    const bool is_empty =
        end == answer_end::close && splitter_.event_count() == 0;
    if (is_empty || splitter_.is_inside_event()) {
        // The server stopped in the middle of its answer.
        report_broken(dispatch::broken_cause::connection_lost);
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

void exchange::on_failed(call_error error)
{
    if (error == call_error::not_connected || error == call_error::withheld) {
        report_not_run(error == call_error::withheld
                           ? dispatch::not_run_cause::withheld
                           : dispatch::not_run_cause::not_connected);
        return;
    }
    if (server_)
        server_->abort();
    server_.reset();
    report_broken(error == call_error::malformed
                      ? dispatch::broken_cause::malformed
                      : dispatch::broken_cause::connection_lost);
}

void exchange::report_broken(dispatch::broken_cause cause)
{
    const core::call_id call = current_call_->call;
    current_call_.reset();
    dependencies_.report(
        dispatch::call_broken{id_, call, cause, is_answer_started_});
}

void exchange::start_stall_timer(absl::Duration timeout)
{
    if (timeout == absl::InfiniteDuration())
        return;
    stall_timer_.expires_after(absl::ToChronoMilliseconds(timeout) +
                               std::chrono::milliseconds(1));
    stall_timer_.async_wait(
        [weak = weak_from_this()](const error_code& cancelled) {
            const auto self = weak.lock();
            if (!cancelled && self)
                self->on_stall_timer();
        });
}

void exchange::on_stall_timer()
{
    if (is_finished_ || !current_call_)
        return;
    const bool has_received_event = last_event_at_ != absl::InfiniteFuture();
    const absl::Time last_progress_at =
        has_received_event ? last_event_at_ : sent_at_;
    const absl::Duration timeout = has_received_event
                                       ? current_call_->gap_timeout
                                       : current_call_->first_event_timeout;
    const absl::Duration elapsed = core::monotonic_now() - last_progress_at;
    if (elapsed < timeout) {
        start_stall_timer(timeout - elapsed);
        return;
    }
    start_stall_timer(timeout);
    // While bytes are queued for a slow caller, the server is not to blame.
    if (caller_->unsent_bytes() == 0)
        dependencies_.report(dispatch::call_silent{id_, current_call_->call});
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

void exchange::abort_call()
{
    if (server_)
        server_->abort();
    server_.reset();
    current_call_.reset();
}

void exchange::finish(bool keep_alive)
{
    if (std::exchange(is_finished_, true))
        return;
    stall_timer_.cancel();
    caller_->finish(keep_alive);
    dependencies_.on_finished(id_);
}

} // namespace oriolefall::forward
