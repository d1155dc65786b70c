#include "bench/load_call.hpp"

#include "bench/event_reader.hpp"
#include "oriolefall/core/clock.hpp"

#include <algorithm>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace oriolefall::bench {

namespace {

using nlohmann::json;

constexpr int ok = 200;

std::string chat_body(const load_request& request)
{
    json body{{"model", request.model.value()},
              {"messages", {{{"role", "user"}, {"content", request.prompt}}}},
              {"stream", request.stream}};
    if (request.max_tokens > 0)
        body["max_tokens"] = request.max_tokens;
    if (request.output_tokens > 0)
        body["metadata"] = {{"output_tokens", request.output_tokens}};
    return body.dump();
}

httplib::Request to_http(const load_request& request)
{
    httplib::Request http;
    http.method = "POST";
    http.headers = {{"X-Workspace", request.workspace.value()},
                    {"X-Service-Class", request.service_class.value()},
                    {"Content-Type", "application/json"},
                    {"Connection", "close"}};
    if (request.key)
        http.headers.emplace("Idempotency-Key", request.key->value());
    if (request.kind == core::call_kind::generate) {
        http.path = "/v1/chat/completions";
        http.body = chat_body(request);
    } else {
        http.path = "/v1/services/" + request.service_class.value();
        http.body = json{{"text", request.prompt}}.dump();
    }
    return http;
}

/// Follows one call from its first byte to its end.
class call_follower
{
public:
    call_follower(const load_request& request, absl::Time due,
                  const token_hook& on_token)
        : request_(request), due_(due), on_token_(on_token),
          events_([this](std::string_view data) { take_event(data); })
    {
    }

    load_outcome run(const core::endpoint& to)
    {
        httplib::Client client(to.address, to.port);
        client.set_tcp_nodelay(true);
        const absl::Duration patience =
            std::min(request_.silence_limit, request_.gone_after);
        client.set_read_timeout(absl::ToChronoMicroseconds(patience));
        httplib::Request http = to_http(request_);
        http.response_handler = [this](const httplib::Response& response) {
            return take_head(response);
        };
        http.content_receiver = [this](const char* data, std::size_t size,
                                       std::uint64_t, std::uint64_t) {
            return take_bytes({data, size});
        };
        const httplib::Result result = client.send(http);
        const bool sound = result.error() == httplib::Error::Success;
        if (!sound)
            outcome_.reason = httplib::to_string(result.error());
        finish(sound);
        return std::move(outcome_);
    }

private:
    [[nodiscard]] absl::Duration elapsed() const
    {
        return core::monotonic_now() - due_;
    }

    [[nodiscard]] bool is_events() const
    {
        return request_.kind == core::call_kind::generate && request_.stream &&
               outcome_.status == ok;
    }

    bool take_head(const httplib::Response& response)
    {
        outcome_.status = response.status;
        outcome_.request_id = response.get_header_value("X-Request-Id");
        return true;
    }

    bool take_bytes(std::string_view bytes)
    {
        if (is_events())
            events_.feed(bytes);
        else
            body_ += bytes;
        const bool had_enough = request_.gone_after_tokens > 0 &&
                                outcome_.tokens >= request_.gone_after_tokens;
        left_ = had_enough || elapsed() >= request_.gone_after;
        return !left_;
    }

    void take_event(std::string_view data)
    {
        if (data == "[DONE]") {
            done_ = true;
            return;
        }
        const json event = json::parse(data, nullptr, false);
        if (event.contains("error"))
            return take_error(event);
        if (!event.contains("choices") || event["choices"].empty())
            return;
        const json& choice = event["choices"][0];
        const std::string text = choice["delta"].value("content", "");
        if (!text.empty())
            take_token(text);
    }

    void take_token(const std::string& text)
    {
        if (outcome_.tokens == 0)
            outcome_.first_token = elapsed();
        ++outcome_.tokens;
        outcome_.text += text;
        if (on_token_)
            on_token_(text);
    }

    void take_error(const json& body)
    {
        const json error = body.value("error", json::object());
        outcome_.reason = error.value("reason", error.value("type", ""));
        failed_ = error.value("verdict", "") == "not_run"
                      ? load_ending::not_run
                      : load_ending::may_have_run;
    }

    void take_whole_body()
    {
        const json body = json::parse(body_, nullptr, false);
        if (outcome_.status != ok) {
            if (body.is_object())
                take_error(body);
            return;
        }
        done_ = body.is_object();
        outcome_.first_token = elapsed();
        outcome_.text = body_;
        if (done_ && body.contains("choices")) {
            outcome_.text = body["choices"][0]["message"]["content"];
            outcome_.tokens = static_cast<std::uint32_t>(
                std::ranges::count(outcome_.text, ' '));
        }
    }

    /// `sound`: the HTTP answer came to its end.
    void finish(bool sound)
    {
        if (sound && !is_events())
            take_whole_body();
        outcome_.ending = ending(sound);
        if (outcome_.ending == load_ending::whole)
            outcome_.whole_answer = elapsed();
    }

    [[nodiscard]] load_ending ending(bool sound) const
    {
        if (sound && done_ && !failed_)
            return load_ending::whole;
        const bool is_callers_fault = outcome_.reason.starts_with("unknown") ||
                                      outcome_.reason == "invalid_request";
        if (failed_ && is_callers_fault)
            return load_ending::rejected;
        if (failed_)
            return *failed_;
        return left_ || elapsed() >= request_.gone_after ? load_ending::left
                                                         : load_ending::cut;
    }

    const load_request& request_;
    absl::Time due_;
    const token_hook& on_token_;
    event_reader events_;
    load_outcome outcome_;
    std::string body_;
    std::optional<load_ending> failed_;
    bool done_ = false;
    bool left_ = false;
};

} // namespace

std::string_view to_string(load_ending ending)
{
    switch (ending) {
    case load_ending::whole:
        return "whole";
    case load_ending::not_run:
        return "not_run";
    case load_ending::may_have_run:
        return "may_have_run";
    case load_ending::rejected:
        return "rejected";
    case load_ending::cut:
        return "cut";
    case load_ending::left:
        break;
    }
    return "left";
}

load_outcome send_load(const core::endpoint& to, const load_request& request,
                       absl::Time due, const token_hook& on_token)
{
    return call_follower(request, due, on_token).run(to);
}

} // namespace oriolefall::bench
