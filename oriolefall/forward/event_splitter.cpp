#include "oriolefall/forward/event_splitter.hpp"

#include <utility>
#include <variant>

namespace oriolefall::forward {

namespace {

/// May stand before the first line of a stream.
constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

} // namespace

event_splitter::event_splitter(std::optional<std::uint64_t> last_delivered_id,
                               std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes), last_returned_id_(last_delivered_id)
{
}

split_result event_splitter::feed(std::string_view bytes)
{
    buffer_ += bytes;
    split_result result;
    while (!result.fault) {
        const std::size_t line_end = buffer_.find('\n', search_from_);
        if (line_end == std::string::npos)
            break;
        read_line(line_end, result);
    }
    buffer_.erase(0, event_begin_);
    line_begin_ -= event_begin_;
    event_begin_ = 0;
    search_from_ = buffer_.size();
    if (!result.fault && buffer_.size() > max_event_bytes_)
        result.fault = event_fault::too_large;
    return result;
}

bool event_splitter::is_inside_event() const
{
    const auto line = std::string_view(buffer_).substr(line_begin_);
    const bool is_comment = line.starts_with(':');
    return reader_.has_fields() ||
           (!is_comment &&
            line.find_first_not_of("\r\n") != std::string_view::npos);
}

std::optional<std::uint64_t> event_splitter::last_event_id() const
{
    return last_returned_id_;
}

std::uint32_t event_splitter::event_count() const
{
    return event_count_;
}

std::size_t event_splitter::pending_bytes() const
{
    return buffer_.size();
}

void event_splitter::read_line(std::size_t line_end, split_result& result)
{
    std::string_view line(buffer_.data() + line_begin_, line_end - line_begin_);
    if (std::exchange(is_first_line_, false) &&
        line.starts_with(byte_order_mark)) {
        event_begin_ = byte_order_mark.size();
        line.remove_prefix(event_begin_);
    }
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    line_begin_ = search_from_ = line_end + 1;
    if (line.empty())
        take_event(line_begin_, result);
    else if (!reader_.read(line))
        result.fault = std::get<event_fault>(reader_.result());
}

void event_splitter::take_event(std::size_t event_end, split_result& result)
{
    const std::string_view event(buffer_.data() + event_begin_,
                                 event_end - event_begin_);
    const event_form form = std::exchange(reader_, {}).result();
    if (const auto* fault = std::get_if<event_fault>(&form))
        result.fault = *fault;
    else if (const auto* number = std::get_if<event_number>(&form))
        take_numbered(event, number->value, result);
    event_begin_ = event_end;
}

void event_splitter::take_numbered(std::string_view event, std::uint64_t number,
                                   split_result& result)
{
    if (last_received_id_ && number <= *last_received_id_) {
        result.fault = event_fault::out_of_order;
        return;
    }
    last_received_id_ = number;
    if (last_returned_id_ && number <= *last_returned_id_)
        return;
    last_returned_id_ = number;
    result.events += event;
    ++event_count_;
}

} // namespace oriolefall::forward
