#include "oriolefall/forward/event_splitter.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace oriolefall::forward {

namespace {

constexpr std::string_view id_field = "id:";

/// The number in the event's id field, if it has one.
std::optional<std::uint64_t> parse_event_id(std::string_view event)
{
    std::size_t line_begin = 0;
    while (line_begin < event.size()) {
        const auto line_end =
            std::min(event.find('\n', line_begin), event.size());
        const std::string_view line =
            event.substr(line_begin, line_end - line_begin);
        line_begin = line_end + 1;
        if (!line.starts_with(id_field))
            continue;
        const auto text = absl::StripAsciiWhitespace(
            core::to_absl(line.substr(id_field.size())));
        std::uint64_t value = 0;
        if (absl::SimpleAtoi(text, &value))
            return value;
    }
    return std::nullopt;
}

} // namespace

event_splitter::event_splitter(std::optional<std::uint64_t> last_delivered_id)
    : last_event_id_(last_delivered_id)
{
}

std::string event_splitter::feed(std::string_view bytes)
{
    buffer_ += bytes;
    std::string complete_events;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = find_event_end(std::max(begin, search_from_));
        if (end == std::string::npos)
            break;
        const std::string_view event(buffer_.data() + begin, end - begin);
        if (!is_duplicate(event)) {
            complete_events += event;
            ++event_count_;
        }
        begin = end;
        search_from_ = end;
    }
    buffer_.erase(0, begin);
    // The blank line that ends an event takes up to four bytes, so three
    // received ones may be its start.
    search_from_ = buffer_.size() > 3 ? buffer_.size() - 3 : 0;
    return complete_events;
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

std::size_t event_splitter::find_event_end(std::size_t from) const
{
    const auto lf = buffer_.find("\n\n", from);
    const auto crlf = buffer_.find("\r\n\r\n", from);
    const auto lf_end = lf == std::string::npos ? std::string::npos : lf + 2;
    const auto crlf_end =
        crlf == std::string::npos ? std::string::npos : crlf + 4;
    return std::min(lf_end, crlf_end);
}

bool event_splitter::is_duplicate(std::string_view event)
{
    const auto id = parse_event_id(event);
    if (!id)
        return false;
    if (last_event_id_ && *id <= *last_event_id_)
        return true;
    last_event_id_ = id;
    return false;
}

} // namespace oriolefall::forward
