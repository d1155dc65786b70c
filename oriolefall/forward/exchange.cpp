#include "oriolefall/forward/exchange.hpp"

#include "oriolefall/core/clock.hpp"
#include "oriolefall/net/header_fields.hpp"

#include <utility>

namespace oriolefall::forward {

exchange::exchange(core::request_id id, caller_request request,
                   std::shared_ptr<caller_connection> caller,
                   dependencies dependencies)
    : id_(id), request_(std::move(request.message.base())),
      body_share_(std::move(request.body_share)),
      body_(std::make_shared<const std::string>(
          std::move(request.message.body()))),
      caller_(std::move(caller)), dependencies_(std::move(dependencies)),
      splitter_(
          parse_event_number(net::field_value(request_, "Last-Event-ID"))),
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
    resumed_after_ = splitter_.last_event_id();
    splitter_ =
        event_splitter(resumed_after_, dependencies_.settings.max_event_bytes);
    earlier_calls_ = 0;
    discarded_bytes_ = 0;
    head_info_ = {};
    sent_at_ = core::monotonic_now();
    last_event_at_ = absl::InfiniteFuture();
    if (!may_send()) {
        report_not_run(dispatch::not_run_cause::withheld);
        return;
    }
    has_called_ = true;
    start_stall_timer(action.first_event_timeout);
    server_ = dependencies_.servers.start(action, body_,
                                          make_call_hooks(action.call));
    if (server_ == nullptr)
        report_not_run(dispatch::not_run_cause::no_room);
    else
        earlier_calls_ = server_->earlier_calls();
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

void exchange::give_up()
{
    if (is_finished_)
        return;
    dependencies_.report(dispatch::caller_left{id_});
    if (has_called_)
        execute(dispatch::refuse{id_, dispatch::refusal::time_over});
    else
        execute(dispatch::refuse{id_, dispatch::refusal::overloaded, true,
                                 dependencies_.settings.retry_after});
}

call_hooks exchange::make_call_hooks(core::call_id call)
{
    const auto run_if_current = [weak = weak_from_this(), call](auto handler) {
        const auto self = weak.lock();
        if (self && self->current_call_ && self->current_call_->call == call)
            handler(*self);
    };
    call_hooks hooks;
    hooks.expects_body = request_.method() != http::verb::head;
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
    return dependencies_.restrictions.of(server).takes_calls(
        core::monotonic_now());
}

void exchange::record_restrictions()
{
    const dispatch::server_notice& notice = head_info_.notice;
    const dispatch::server_incarnation server{
        current_call_->server, current_call_->server_started_at_ms};
    if (notice.is_leaving)
        dependencies_.restrictions.set_leaving(server);
    if (notice.quiet_time)
        dependencies_.restrictions.set_quiet(server, core::monotonic_now() +
                                                         *notice.quiet_time);
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

void exchange::on_failed(call_error error)
{
    if (error == call_error::not_connected || error == call_error::withheld) {
        report_not_run(error == call_error::withheld
                           ? dispatch::not_run_cause::withheld
                           : dispatch::not_run_cause::not_connected);
        return;
    }
    if (error == call_error::malformed) {
        on_malformed("not_http");
        return;
    }
    if (server_)
        server_->abort();
    server_.reset();
    report_broken(dispatch::broken_cause::connection_lost);
}

void exchange::on_malformed(std::string_view fault)
{
    if (server_)
        server_->abort();
    server_.reset();
    report_broken(dispatch::broken_cause::malformed, fault);
}

void exchange::report_broken(dispatch::broken_cause cause,
                             std::string_view fault)
{
    const core::call_id call = current_call_->call;
    current_call_.reset();
    dependencies_.report(
        dispatch::call_broken{.id = id_,
                              .call = call,
                              .cause = cause,
                              .has_answer_started = is_answer_started_,
                              .may_resume = may_resume_,
                              .details = broken_details(fault)});
}

dispatch::broken_call_details
exchange::broken_details(std::string_view fault) const
{
    return {.fault = fault,
            .events = splitter_.event_count(),
            .resumed_after = resumed_after_.value_or(0),
            .last_event = splitter_.last_event_id().value_or(0),
            .earlier_calls = earlier_calls_};
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
