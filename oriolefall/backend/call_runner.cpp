#include "oriolefall/backend/call_runner.hpp"

#include "oriolefall/core/clock.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace oriolefall::backend {

namespace {

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
/// How often a lane that waits for a slow caller looks for a cancel.
constexpr absl::Duration cancel_check = absl::Milliseconds(100);
constexpr absl::Duration default_retry_after = absl::Seconds(1);

template <class Number>
Number number_header(const httplib::Response& response, const char* name)
{
    Number value{};
    const std::string text = response.get_header_value(name);
    if constexpr (std::is_same_v<Number, double>)
        static_cast<void>(absl::SimpleAtod(text, &value));
    else
        static_cast<void>(absl::SimpleAtoi(text, &value));
    return value;
}

absl::Duration retry_after(const httplib::Response& response)
{
    const auto seconds = number_header<std::uint32_t>(response, "Retry-After");
    return seconds > 0 ? absl::Seconds(seconds) : default_retry_after;
}

bool refuses(int status)
{
    return status == status_too_many_requests || status == status_unavailable;
}

} // namespace

call_runner::call_runner(const lane_settings& settings, const lane_hooks& hooks,
                         connection_cache& connections, call_control& control,
                         const call_order& order)
    : settings_(settings), hooks_(hooks), connections_(connections),
      control_(control), order_(order), parser_(settings.max_event_bytes),
      next_index_(order.call.resume_from)
{
}

decision::call_ended call_runner::run()
{
    const connection_ptr connection = connect();
    if (!control_.attach(connection))
        return ended(core::not_run{core::reason::caller_gone});
    httplib::Request request = make_request();
    httplib::Response response;
    auto error = httplib::Error::Success;
    last_byte_ = core::monotonic_now();
    connection->send(request, response, error);
    control_.detach();
    if (error == httplib::Error::Success && !control_.cancelled())
        connections_.give_back(order_.server.endpoint, connection);
    return end_of_exchange(error, response);
}

connection_ptr call_runner::connect()
{
    // A kept connection may have been closed by the server meanwhile, which
    // cannot be told from a call that ran: a keyed call takes a new one.
    connection_ptr connection = order_.key
                                    ? connections_.make(order_.server.endpoint)
                                    : connections_.take(order_.server.endpoint);
    const absl::Duration left = order_.call.deadline - core::monotonic_now();
    const absl::Duration limit =
        std::clamp(std::min(order_.call.gap_timeout, left),
                   absl::Milliseconds(1), absl::Hours(1));
    connection->set_read_timeout(absl::ToChronoMicroseconds(limit));
    return connection;
}

httplib::Request call_runner::make_request()
{
    httplib::Request request;
    request.method = "POST";
    request.path = order_.payload->path;
    request.body = order_.payload->body;
    request.set_header("Content-Type", order_.payload->content_type);
    request.set_header("X-Request-Id",
                       absl::StrCat(order_.call.request.value()));
    request.set_header("X-Priority",
                       absl::StrCat(static_cast<int>(order_.call.priority)));
    if (order_.call.resume_from > 0) {
        const std::uint64_t last = order_.call.resume_from - 1;
        request.set_header("Last-Event-ID", absl::StrCat(last));
    }
    if (order_.key)
        request.set_header("Idempotency-Key", order_.key->value());
    request.response_handler = [this](const httplib::Response& response) {
        return on_headers(response);
    };
    request.content_receiver = [this](const char* data, std::size_t size,
                                      std::uint64_t, std::uint64_t) {
        return on_bytes(std::string_view(data, size));
    };
    return request;
}

bool call_runner::on_headers(const httplib::Response& response)
{
    last_byte_ = core::monotonic_now();
    status_ = response.status;
    tell_load(response);
    return !control_.cancelled();
}

bool call_runner::on_bytes(std::string_view bytes)
{
    last_byte_ = core::monotonic_now();
    if (control_.cancelled())
        return false;
    if (order_.server.kind == core::call_kind::service ||
        status_ != status_ok) {
        body_.append(bytes);
        return body_.size() <= settings_.max_body_bytes;
    }
    events_.clear();
    faulty_ = !parser_.feed(bytes, events_);
    return !faulty_ && std::ranges::all_of(events_, [this](const auto& event) {
        return on_event(event);
    });
}

bool call_runner::on_event(const stream_event& event)
{
    const engine_message message = parse_engine_event(event);
    if (const auto* token = std::get_if<engine_token>(&message))
        return on_token(*token);
    done_ = std::holds_alternative<engine_done>(message);
    faulty_ = !done_;
    return done_;
}

bool call_runner::on_token(const engine_token& token)
{
    // An event without text has no place of its own: a stream's last id stays
    // in force for the events after it.
    if (token.text.empty()) {
        return token.finish_reason.empty() ||
               deliver(
                   core::answer_token{next_index_, {}, token.finish_reason});
    }
    const std::uint64_t index = token.index.value_or(next_index_);
    if (index < next_index_)
        return true;
    if (index > next_index_) {
        faulty_ = true;
        return false;
    }
    if (!deliver(core::answer_token{index, token.text, token.finish_reason}))
        return false;
    ++next_index_;
    tell_progress();
    return true;
}

bool call_runner::deliver(core::answer_part part)
{
    while (!control_.cancelled() && !order_.answers->closed()) {
        const absl::Time until = core::monotonic_now() + cancel_check;
        if (order_.answers->push_until(part, core::to_steady(until)))
            return true;
    }
    return false;
}

void call_runner::tell_load(const httplib::Response& response)
{
    if (!response.has_header("X-Load-Running"))
        return;
    hooks_.load_reported(decision::load_reported{
        .server = order_.server.id,
        .running = number_header<std::uint32_t>(response, "X-Load-Running"),
        .queued = number_header<std::uint32_t>(response, "X-Load-Queued"),
        .cache_used = number_header<double>(response, "X-Load-Cache-Used"),
        .age = absl::Milliseconds(
            number_header<std::uint32_t>(response, "X-Load-Age-Ms"))});
}

void call_runner::tell_progress()
{
    const std::uint64_t came = next_index_ - order_.call.resume_from;
    if (came % settings_.tokens_per_progress == 1)
        hooks_.progressed({order_.call.call, next_index_});
}

decision::call_ended call_runner::ended(core::verdict verdict) const
{
    return {
        .call = order_.call.call, .verdict = verdict, .tokens = next_index_};
}

decision::call_ended
call_runner::end_of_exchange(httplib::Error error,
                             const httplib::Response& response)
{
    if (refuses(status_)) {
        decision::call_ended refusal =
            ended(core::not_run{core::reason::backend_refused});
        refusal.retry_after = retry_after(response);
        return refusal;
    }
    if (done_)
        return ended(core::ran{next_index_});
    if (error == httplib::Error::Success)
        return end_of_answer();
    return ended(verdict_of_loss(error));
}

decision::call_ended call_runner::end_of_answer()
{
    if (order_.server.kind == core::call_kind::generate) {
        const core::reason cause = status_ == status_ok
                                       ? core::reason::connection_lost
                                       : core::reason::backend_error;
        return ended(core::may_have_run{cause});
    }
    if (!deliver(
            core::answer_body{status_, "application/json", std::move(body_)}))
        return ended(core::may_have_run{core::reason::caller_gone});
    return ended(core::ran{});
}

core::verdict call_runner::verdict_of_loss(httplib::Error error) const
{
    using httplib::Error;
    if (error == Error::Connection || error == Error::ConnectionTimeout)
        return core::not_run{core::reason::connect_failed};
    if (control_.cancelled())
        return core::may_have_run{core::reason::caller_gone};
    if (faulty_)
        return core::may_have_run{core::reason::backend_error};
    const absl::Duration quiet = core::monotonic_now() - last_byte_;
    const bool silent = quiet >= order_.call.gap_timeout;
    return core::may_have_run{silent ? core::reason::connection_silent
                                     : core::reason::connection_lost};
}

} // namespace oriolefall::backend
