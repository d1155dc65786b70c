#include "oriolefall/forward/exchange.hpp"

#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <utility>

namespace oriolefall::forward {

namespace {

constexpr unsigned first_server_error = 500;
constexpr unsigned success_class = 2;

bool is_success(unsigned status)
{
    return status / 100 == success_class;
}

} // namespace

exchange::exchange(core::request_id id, caller_request request,
                   std::shared_ptr<caller_connection> caller,
                   surroundings surroundings)
    : id_(id), request_(std::move(request)),
      body_(std::make_shared<const std::string>(std::move(request_.body()))),
      caller_(std::move(caller)), around_(std::move(surroundings)),
      silence_(around_.context)
{
}

void exchange::act(const dispatch::send_call& order)
{
    if (over_)
        return;
    order_ = order;
    passing_ = passing::undecided;
    held_.clear();
    told_answered_ = false;
    splitter_ = event_splitter(splitter_.last_id());
    sent_at_ = core::monotonic_now();
    last_event_at_ = absl::InfiniteFuture();
    watch_silence(order.first_event_timeout);
    server_ = around_.servers.start(order, body_, hooks_of(order.call));
    if (server_ == nullptr)
        around_.tell(dispatch::call_not_run{
            id_, order.call, dispatch::not_run_cause::no_room, std::nullopt});
}

void exchange::act(const dispatch::cancel_call& order)
{
    if (order_ && order_->call == order.call)
        drop_call();
}

void exchange::act(const dispatch::forward_error_answer&)
{
    if (over_)
        return;
    pass_held();
    end(true);
}

void exchange::act(const dispatch::refuse& order)
{
    if (over_)
        return;
    drop_call();
    if (begun_) {
        caller_->abort();
        end(false);
        return;
    }
    caller_->write(refusal_text(order, caller_->closes_after()));
    end(true);
}

void exchange::caller_left()
{
    if (over_)
        return;
    drop_call();
    around_.tell(dispatch::caller_left{id_});
    end(false);
}

void exchange::caller_drained()
{
    if (server_)
        server_->resume();
}

void exchange::cut()
{
    if (over_)
        return;
    drop_call();
    caller_->abort();
    end(false);
}

std::size_t exchange::request_bytes() const
{
    return body_->size();
}

call_hooks exchange::hooks_of(core::call_id call)
{
    const auto guard = [weak = weak_from_this(), call](auto work) {
        const auto self = weak.lock();
        if (self && self->order_ && self->order_->call == call)
            work(*self);
    };
    call_hooks hooks;
    hooks.write_head = [self = shared_from_this()] {
        return self->write_head();
    };
    hooks.head = [guard](const answer_head& head) {
        bool takes = true;
        guard([&](exchange& self) { takes = self.on_head(head); });
        return takes;
    };
    hooks.body = [guard](std::string_view bytes) {
        guard([bytes](exchange& self) { self.on_body(bytes); });
    };
    hooks.done = [guard] { guard([](exchange& self) { self.on_done(); }); };
    hooks.failed = [guard](call_fault fault) {
        guard([fault](exchange& self) { self.on_failed(fault); });
    };
    return hooks;
}

std::string exchange::write_head()
{
    call_additions additions;
    additions.time_left = order_->deadline - core::monotonic_now();
    additions.body_bytes = body_->size();
    if (begun_ && splitter_.last_id())
        additions.last_event = std::to_string(*splitter_.last_id());
    return around_.protocol.write_request(request_, *order_, additions);
}

bool exchange::on_head(const answer_head& head)
{
    facts_ = around_.protocol.read_answer(request_, head);
    if (!facts_.is_ours)
        return false;
    head_ = head;
    if (facts_.idle_limit && server_)
        server_->set_idle_limit(*facts_.idle_limit);
    const unsigned status = head.result_int();
    if (facts_.not_run || facts_.wrong_server) {
        passing_ = passing::dropped;
    } else if (is_success(status) && !facts_.is_signed) {
        on_failed(call_fault::malformed);
    } else if (is_success(status) && order_->is_stream && facts_.is_events) {
        passing_ = passing::events;
    } else if (begun_) {
        // Only a stream can go on where another one stopped.
        on_failed(call_fault::lost);
    } else {
        passing_ = passing::held;
    }
    return true;
}

void exchange::on_body(std::string_view bytes)
{
    switch (passing_) {
    case passing::events:
        pass_events(splitter_.take(bytes));
        break;
    case passing::held:
        held_ += bytes;
        if (held_.size() > around_.settings.held_answer_bytes)
            begin_plain();
        break;
    case passing::plain:
        send_body(bytes);
        break;
    default:
        break;
    }
}

void exchange::on_done()
{
    const core::call_id call = order_->call;
    server_.reset();
    if (passing_ == passing::dropped) {
        const auto cause = facts_.wrong_server
                               ? dispatch::not_run_cause::wrong_server
                               : dispatch::not_run_cause::refused;
        order_.reset();
        around_.tell(dispatch::call_not_run{id_, call, cause, facts_.load});
        return;
    }
    if (passing_ == passing::events) {
        pass_events(splitter_.take_rest());
        if (!begun_)
            begin_events();
        if (framing_.chunked)
            caller_->write(std::string(last_chunk));
        around_.tell(dispatch::call_completed{id_, call, splitter_.events(),
                                              longest_gap_});
        end(framing_.chunked);
        return;
    }
    const int status = static_cast<int>(head_.result_int());
    if (passing_ == passing::held) {
        if (head_.result_int() >= first_server_error &&
            order_->holds_error_answers) {
            around_.tell(dispatch::call_failed{id_, call, status, facts_.load});
            return;
        }
        around_.tell(
            dispatch::call_answer_started{id_, call, status, facts_.load});
        pass_held();
    } else if (framing_.chunked) {
        caller_->write(std::string(last_chunk));
    }
    around_.tell(dispatch::call_completed{id_, call, 0, absl::ZeroDuration()});
    end(framing_.length || framing_.chunked);
}

void exchange::on_failed(call_fault fault)
{
    const core::call_id call = order_->call;
    if (server_)
        server_->abort();
    server_.reset();
    if (fault == call_fault::not_connected) {
        order_.reset();
        around_.tell(dispatch::call_not_run{
            id_, call, dispatch::not_run_cause::not_connected, std::nullopt});
        return;
    }
    tell_broken(fault == call_fault::malformed
                    ? dispatch::broken_cause::malformed
                    : dispatch::broken_cause::connection_lost);
}

void exchange::tell_broken(dispatch::broken_cause cause)
{
    const core::call_id call = order_->call;
    order_.reset();
    around_.tell(dispatch::call_broken{id_, call, cause, begun_});
}

void exchange::watch_silence(absl::Duration wait)
{
    if (wait == absl::InfiniteDuration())
        return;
    silence_.expires_after(absl::ToChronoMilliseconds(wait) +
                           std::chrono::milliseconds(1));
    silence_.async_wait([weak = weak_from_this()](const error_code& stopped) {
        const auto self = weak.lock();
        if (!stopped && self)
            self->on_silence_check();
    });
}

void exchange::on_silence_check()
{
    if (over_ || !order_)
        return;
    const bool has_begun = last_event_at_ != absl::InfiniteFuture();
    const absl::Time since = has_begun ? last_event_at_ : sent_at_;
    const absl::Duration limit =
        has_begun ? order_->gap_timeout : order_->first_event_timeout;
    const absl::Duration silent = core::monotonic_now() - since;
    if (silent < limit) {
        watch_silence(limit - silent);
        return;
    }
    watch_silence(limit);
    // While the caller takes nothing, the silence is its own.
    if (caller_->waiting_bytes() == 0)
        around_.tell(dispatch::call_silent{id_, order_->call});
}

void exchange::begin_events()
{
    framing_ = {std::nullopt, caller_->speaks_chunks()};
    caller_->write(caller_head(head_, framing_,
                               caller_->closes_after() || !framing_.chunked));
    begun_ = true;
}

void exchange::pass_events(const std::string& events)
{
    if (events.empty())
        return;
    const absl::Time now = core::monotonic_now();
    if (last_event_at_ == absl::InfiniteFuture())
        watch_silence(order_->gap_timeout);
    longest_gap_ = std::max(longest_gap_, now - last_event_at_);
    last_event_at_ = now;
    if (!begun_)
        begin_events();
    if (!std::exchange(told_answered_, true))
        around_.tell(dispatch::call_answer_started{
            id_, order_->call, static_cast<int>(head_.result_int()),
            facts_.load});
    send_body(events);
}

void exchange::begin_plain()
{
    passing_ = passing::plain;
    const auto told = head_[http::field::content_length];
    framing_ = {std::nullopt, caller_->speaks_chunks()};
    if (!told.empty())
        framing_.length = std::stoull(std::string(told));
    if (framing_.length)
        framing_.chunked = false;
    const bool is_framed = framing_.length || framing_.chunked;
    caller_->write(
        caller_head(head_, framing_, caller_->closes_after() || !is_framed));
    begun_ = true;
    around_.tell(dispatch::call_answer_started{
        id_, order_->call, static_cast<int>(head_.result_int()), facts_.load});
    send_body(std::exchange(held_, {}));
}

void exchange::pass_held()
{
    framing_ = {held_.size(), false};
    std::string text = caller_head(head_, framing_, caller_->closes_after());
    text += held_;
    held_.clear();
    caller_->write(std::move(text));
    begun_ = true;
}

void exchange::send_body(std::string_view bytes)
{
    if (framing_.chunked)
        caller_->write(chunk_text(bytes));
    else
        caller_->write(std::string(bytes));
    slow_down();
}

void exchange::slow_down()
{
    if (server_ && caller_->waiting_bytes() > around_.settings.high_water_bytes)
        server_->pause();
}

void exchange::drop_call()
{
    if (server_)
        server_->abort();
    server_.reset();
    order_.reset();
}

void exchange::end(bool keep)
{
    if (std::exchange(over_, true))
        return;
    silence_.cancel();
    caller_->finish(keep);
    around_.over(id_);
}

} // namespace oriolefall::forward
