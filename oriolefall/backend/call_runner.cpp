#include "oriolefall/backend/call_runner.hpp"

#include "oriolefall/core/clock.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace oriolefall::backend {

namespace {

constexpr int success_class = 2;
constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;
/// Time between checks for cancellation while the caller's answer ring is full.
constexpr absl::Duration cancel_check_interval = absl::Milliseconds(100);
constexpr absl::Duration default_retry_after = absl::Seconds(1);

/// The number in a header field: 0 without the field, nullopt if it holds
/// anything else.
template <class Number>
std::optional<Number> header_number(const httplib::Response& response,
                                    const char* name)
{
    Number value{};
    if (!response.has_header(name))
        return value;
    const std::string text = response.get_header_value(name);
    bool is_number = false;
    if constexpr (std::is_same_v<Number, double>)
        is_number = absl::SimpleAtod(text, &value);
    else
        is_number = absl::SimpleAtoi(text, &value);
    return is_number ? std::optional(value) : std::nullopt;
}

bool is_share(double value)
{
    return value >= 0.0 && value <= 1.0;
}

absl::Duration retry_after(const httplib::Response& response)
{
    const std::uint32_t seconds =
        header_number<std::uint32_t>(response, "Retry-After").value_or(0);
    return seconds > 0 ? absl::Seconds(seconds) : default_retry_after;
}

/// True if the answer of a service has the form that its status asks for.
bool is_sound_body(int status, const std::string& body)
{
    const bool has_body =
        status / 100 == success_class && status != status_no_content;
    return !has_body || nlohmann::json::accept(body);
}

bool is_refusal_status(int status)
{
    return status == status_too_many_requests || status == status_unavailable;
}

} // namespace

call_runner::call_runner(const call_worker_settings& settings,
                         const call_hooks& hooks, connection_cache& connections,
                         call_control& control, const call_task& task)
    : settings_(settings), hooks_(hooks), connections_(connections),
      control_(control), task_(task), parser_(settings.max_event_bytes),
      next_index_(task.call.resume_from)
{
}

decision::call_ended call_runner::run()
{
    const connection_ptr connection = connect();
    if (!control_.attach(connection))
        return make_call_ended(core::not_run{core::reason::caller_gone});
    httplib::Request request = make_request();
    httplib::Response response;
    auto error = httplib::Error::Success;
    last_byte_at_ = core::monotonic_now();
    connection->send(request, response, error);
    control_.detach();
    if (error == httplib::Error::Success && !control_.is_cancelled())
        connections_.release(task_.server.endpoint, connection);
    return finish_exchange(error, response);
}

connection_ptr call_runner::connect()
{
    // The server may have closed a cached connection. A call that fails
    // because of this cannot be told from one that ran, so a call with an
    // idempotency key always uses a new connection.
    connection_ptr connection =
        task_.key ? connections_.make(task_.server.endpoint)
                  : connections_.acquire(task_.server.endpoint);
    const absl::Duration remaining =
        task_.call.deadline - core::monotonic_now();
    const absl::Duration read_timeout =
        std::clamp(std::min(task_.call.gap_timeout, remaining),
                   absl::Milliseconds(1), absl::Hours(1));
    connection->set_read_timeout(absl::ToChronoMicroseconds(read_timeout));
    return connection;
}

httplib::Request call_runner::make_request()
{
    httplib::Request request;
    request.method = "POST";
    request.path = task_.payload->path;
    request.body = task_.payload->body;
    request.set_header("Content-Type", task_.payload->content_type);
    request.set_header("X-Request-Id",
                       absl::StrCat(task_.call.request.value()));
    request.set_header("X-Priority",
                       absl::StrCat(static_cast<int>(task_.call.priority)));
    if (task_.call.resume_from > 0) {
        const std::uint64_t last_token = task_.call.resume_from - 1;
        request.set_header("Last-Event-ID", absl::StrCat(last_token));
    }
    if (task_.key)
        request.set_header("Idempotency-Key", task_.key->value());
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
    last_byte_at_ = core::monotonic_now();
    status_ = response.status;
    report_load(response);
    return !control_.is_cancelled();
}

bool call_runner::on_bytes(std::string_view bytes)
{
    last_byte_at_ = core::monotonic_now();
    // What stands behind the end of the answer is no part of it.
    if (control_.is_cancelled() || is_done_)
        return false;
    if (task_.server.kind == core::call_kind::service || status_ != status_ok) {
        body_.append(bytes);
        return body_.size() <= settings_.max_body_bytes;
    }
    events_.clear();
    has_engine_error_ = !parser_.feed(bytes, events_);
    return !has_engine_error_ &&
           std::ranges::all_of(
               events_, [this](const auto& event) { return on_event(event); });
}

bool call_runner::on_event(const stream_event& event)
{
    if (is_done_)
        return false;
    const engine_message message = parse_engine_event(event);
    if (const auto* token = std::get_if<engine_token>(&message))
        return on_token(*token);
    is_done_ = std::holds_alternative<engine_done>(message);
    has_engine_error_ = !is_done_;
    return is_done_;
}

bool call_runner::on_token(const engine_token& token)
{
    // The index of an event without text is ignored: its id may be that of an
    // earlier event, since a stream's last id applies to all later events.
    if (token.text.empty()) {
        return token.finish_reason.empty() ||
               deliver(
                   core::answer_token{next_index_, {}, token.finish_reason});
    }
    // An index that doesn't rise is that of a token before, or another's.
    if (!token.index || token.index <= last_index_ ||
        *token.index > next_index_) {
        has_engine_error_ = true;
        return false;
    }
    const std::uint64_t index = *token.index;
    last_index_ = index;
    if (index < next_index_)
        return true;
    if (!deliver(core::answer_token{index, token.text, token.finish_reason}))
        return false;
    ++next_index_;
    report_progress();
    return true;
}

bool call_runner::deliver(core::answer_part part)
{
    while (!control_.is_cancelled() && !task_.answers->closed()) {
        const absl::Time until = core::monotonic_now() + cancel_check_interval;
        if (task_.answers->push_until(part, core::to_steady(until)))
            return true;
    }
    return false;
}

void call_runner::report_load(const httplib::Response& response)
{
    if (!response.has_header("X-Load-Running"))
        return;
    const auto running =
        header_number<std::uint32_t>(response, "X-Load-Running");
    const auto queued = header_number<std::uint32_t>(response, "X-Load-Queued");
    const auto cache_used =
        header_number<double>(response, "X-Load-Cache-Used");
    const auto age_ms = header_number<std::uint32_t>(response, "X-Load-Age-Ms");
    if (!running || !queued || !cache_used || !is_share(*cache_used) || !age_ms)
        return;
    hooks_.on_load_report(
        decision::load_reported{.server = task_.server.id,
                                .running = *running,
                                .queued = *queued,
                                .cache_used = *cache_used,
                                .age = absl::Milliseconds(*age_ms)});
}

void call_runner::report_progress()
{
    const std::uint64_t new_tokens = next_index_ - task_.call.resume_from;
    if (new_tokens % settings_.tokens_per_progress_report == 1)
        hooks_.on_progress({task_.call.call, next_index_});
}

decision::call_ended call_runner::make_call_ended(core::verdict verdict) const
{
    return {.call = task_.call.call, .verdict = verdict, .tokens = next_index_};
}

decision::call_ended
call_runner::finish_exchange(httplib::Error error,
                             const httplib::Response& response)
{
    if (is_refusal_status(status_)) {
        decision::call_ended refusal =
            make_call_ended(core::not_run{core::reason::backend_refused});
        refusal.retry_after = retry_after(response);
        return refusal;
    }
    if (is_done_)
        return make_call_ended(core::ran{next_index_});
    if (error == httplib::Error::Success)
        return finish_answer();
    return make_call_ended(failure_verdict(error));
}

decision::call_ended call_runner::finish_answer()
{
    if (task_.server.kind == core::call_kind::generate) {
        const core::reason cause = status_ == status_ok
                                       ? core::reason::connection_lost
                                       : core::reason::backend_error;
        return make_call_ended(core::may_have_run{cause});
    }
    if (!is_sound_body(status_, body_))
        return make_call_ended(core::may_have_run{core::reason::backend_error});
    if (!deliver(
            core::answer_body{status_, "application/json", std::move(body_)}))
        return make_call_ended(core::may_have_run{core::reason::caller_gone});
    return make_call_ended(core::ran{});
}

core::verdict call_runner::failure_verdict(httplib::Error error) const
{
    using httplib::Error;
    if (error == Error::Connection || error == Error::ConnectionTimeout)
        return core::not_run{core::reason::connect_failed};
    if (control_.is_cancelled())
        return core::may_have_run{core::reason::caller_gone};
    if (has_engine_error_)
        return core::may_have_run{core::reason::backend_error};
    const absl::Duration time_since_last_byte =
        core::monotonic_now() - last_byte_at_;
    const bool is_stalled = time_since_last_byte >= task_.call.gap_timeout;
    return core::may_have_run{is_stalled ? core::reason::connection_silent
                                         : core::reason::connection_lost};
}

} // namespace oriolefall::backend
