#include "stand_ins/answer_stream.hpp"

#include "stand_ins/answer_text.hpp"

#include <chrono>
#include <utility>

namespace oriolefall::stand_ins {

namespace {

/// How often the connection is looked at while no token comes.
constexpr std::chrono::milliseconds connection_check_interval{20};

bool send(httplib::DataSink& sink, const std::string& text)
{
    return sink.write(text.data(), text.size());
}

} // namespace

answer_stream::answer_stream(generation_request request,
                             std::shared_ptr<stream_ring> events)
    : request_(std::move(request)), events_(std::move(events)),
      text_(answer_text(request_.seed, request_.order.first_index))
{
}

bool answer_stream::write_next(httplib::DataSink& sink)
{
    const auto next = events_->pop_until(std::chrono::steady_clock::now() +
                                         connection_check_interval);
    if (std::holds_alternative<core::ring_closed>(next))
        return false;
    if (const auto* event = std::get_if<stream_event>(&next))
        return write(*event, sink);
    return sink.is_writable();
}

bool answer_stream::write(const stream_event& event, httplib::DataSink& sink)
{
    if (const auto* token = std::get_if<stream_token>(&event))
        return write_token(token->index, sink);
    ended_ = true;
    return std::holds_alternative<stream_finished>(event) && write_end(sink);
}

bool answer_stream::write_token(std::uint32_t index, httplib::DataSink& sink)
{
    const std::string text = token_text(request_.seed, index);
    if (request_.stream)
        return send(sink, token_event(index, text));
    text_ += text;
    return true;
}

bool answer_stream::write_end(httplib::DataSink& sink)
{
    const std::string last = request_.stream ? end_events(request_.limited)
                                             : whole_answer(request_, text_);
    const bool sent = send(sink, last);
    sink.done();
    return sent;
}

} // namespace oriolefall::stand_ins
