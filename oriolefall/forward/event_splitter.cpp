#include "oriolefall/forward/event_splitter.hpp"

#include <variant>

namespace oriolefall::forward {

event_splitter::event_splitter(std::optional<std::uint64_t> last_delivered_id,
                               std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes), last_event_id_(last_delivered_id)
{
}

split_result event_splitter::feed(std::string_view bytes)
{
    buffer_ += bytes;
    split_result result;
    std::size_t event_begin = 0;
    while (!result.fault) {
        const std::size_t line_end = buffer_.find('\n', search_from_);
        if (line_end == std::string::npos)
            break;
        const std::string_view line(buffer_.data() + line_begin_,
                                    line_end - line_begin_);
        line_begin_ = search_from_ = line_end + 1;
        if (!line.empty() && line != "\r")
            continue;
        take({buffer_.data() + event_begin, line_begin_ - event_begin}, result);
        event_begin = line_begin_;
    }
    buffer_.erase(0, event_begin);
    line_begin_ -= event_begin;
    search_from_ = buffer_.size();
    if (!result.fault && buffer_.size() > max_event_bytes_)
        result.fault = event_fault::too_large;
    return result;
}

bool event_splitter::is_inside_event() const
{
    return buffer_.find_first_not_of("\r\n") != std::string::npos;
}

std::optional<std::uint64_t> event_splitter::last_event_id() const
{
    return last_event_id_;
}

std::uint32_t event_splitter::event_count() const
{
    return event_count_;
}

std::size_t event_splitter::pending_bytes() const
{
    return buffer_.size();
}

void event_splitter::take(std::string_view event, split_result& result)
{
    const event_form form = read_event_form(event);
    if (const auto* fault = std::get_if<event_fault>(&form))
        result.fault = *fault;
    else if (const auto* number = std::get_if<event_number>(&form))
        take_numbered(event, number->value, result);
}

void event_splitter::take_numbered(std::string_view event, std::uint64_t number,
                                   split_result& result)
{
    if (number < last_received_id_) {
        result.fault = event_fault::out_of_order;
        return;
    }
    last_received_id_ = number;
    if (last_event_id_ && number <= *last_event_id_)
        return;
    last_event_id_ = number;
    result.events += event;
    ++event_count_;
}

} // namespace oriolefall::forward
