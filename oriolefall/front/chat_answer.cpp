#include "oriolefall/front/chat_answer.hpp"

#include "oriolefall/front/error_reply.hpp"
#include "oriolefall/front/http_reply.hpp"

#include <httplib.h>
#include <memory>
#include <utility>

namespace oriolefall::front {

namespace {

constexpr const char* event_stream_content_type = "text/event-stream";

bool write_text(httplib::DataSink& sink, const std::string& text)
{
    return sink.write(text.data(), text.size());
}

bool write_event(httplib::DataSink& sink, const std::string& data)
{
    return write_text(sink, "data: " + data + "\n\n");
}

bool is_complete(const core::answer_end& end)
{
    return std::holds_alternative<core::ran>(end.verdict);
}

void write_end(const core::answer_end& end, const completion_metadata& metadata,
               std::string_view finish_reason, httplib::DataSink& sink)
{
    if (!is_complete(end)) {
        const error_reply reply =
            make_error_reply(end.verdict, end.retry_after);
        write_text(sink, "event: error\ndata: " + reply.body + "\n\n");
        return;
    }
    write_event(sink, encode_last_chunk(metadata, finish_reason));
    write_event(sink, "[DONE]");
}

/// The state of one streamed answer between two calls of the library's content
/// provider.
struct event_stream
{
    answer_reader reader;
    completion_metadata metadata;
    /// The first part, which was read before the status was sent and has not
    /// been written yet.
    std::optional<core::answer_part> first_part;
    /// Why the engine stopped; empty until it has reported the reason.
    std::string finish_reason;

    /// Waits for one part and writes it. False when the caller has
    /// disconnected.
    bool write_next(httplib::DataSink& sink)
    {
        const bool is_first = first_part.has_value();
        const auto part = is_first ? std::exchange(first_part, std::nullopt)
                                   : reader.next(sink.is_writable);
        if (!part)
            return false;
        if (const auto* end = std::get_if<core::answer_end>(&*part)) {
            write_end(*end, metadata, finish_reason, sink);
            sink.done();
            return true;
        }
        const auto* token = std::get_if<core::answer_token>(&*part);
        if (token == nullptr)
            return true;
        if (!token->finish_reason.empty())
            finish_reason = token->finish_reason;
        if (token->text.empty())
            return true;
        if (write_event(sink, encode_chunk(metadata, token->text, is_first)))
            return true;
        reader.abandon();
        return false;
    }
};

} // namespace

void answer_with_events(answer_reader reader, completion_metadata metadata,
                        const connection_check& is_caller_connected,
                        httplib::Response& response)
{
    auto first_part = reader.next(is_caller_connected);
    if (!first_part) {
        response.status = caller_gone_status;
        return;
    }
    const auto* end = std::get_if<core::answer_end>(&*first_part);
    if (end != nullptr && !is_complete(*end)) {
        set_reply(make_error_reply(end->verdict, end->retry_after), response);
        return;
    }
    const auto stream = std::make_shared<event_stream>(event_stream{
        std::move(reader), std::move(metadata), std::move(first_part), {}});
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(
        event_stream_content_type,
        [stream](std::size_t, httplib::DataSink& sink) {
            return stream->write_next(sink);
        });
}

void answer_with_completion(answer_reader reader,
                            const completion_metadata& metadata,
                            std::uint32_t prompt_tokens,
                            const connection_check& is_caller_connected,
                            httplib::Response& response)
{
    std::string text;
    std::string finish_reason;
    token_usage usage{.prompt = prompt_tokens};
    while (const auto part = reader.next(is_caller_connected)) {
        if (const auto* token = std::get_if<core::answer_token>(&*part)) {
            text += token->text;
            usage.completion += token->text.empty() ? 0 : 1;
            if (!token->finish_reason.empty())
                finish_reason = token->finish_reason;
        }
        const auto* end = std::get_if<core::answer_end>(&*part);
        if (end == nullptr)
            continue;
        if (is_complete(*end))
            response.set_content(
                encode_completion(metadata, text, finish_reason, usage),
                json_content_type);
        else
            set_reply(make_error_reply(end->verdict, end->retry_after),
                      response);
        return;
    }
    response.status = caller_gone_status;
}

void answer_with_body(answer_reader reader,
                      const connection_check& is_caller_connected,
                      httplib::Response& response)
{
    core::answer_body body;
    while (auto part = reader.next(is_caller_connected)) {
        if (auto* received = std::get_if<core::answer_body>(&*part))
            body = std::move(*received);
        const auto* end = std::get_if<core::answer_end>(&*part);
        if (end == nullptr)
            continue;
        if (!is_complete(*end)) {
            set_reply(make_error_reply(end->verdict, end->retry_after),
                      response);
            return;
        }
        response.status = body.status;
        response.set_content(body.body, body.content_type);
        return;
    }
    response.status = caller_gone_status;
}

} // namespace oriolefall::front
