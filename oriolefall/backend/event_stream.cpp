#include "oriolefall/backend/event_stream.hpp"

#include <utility>

namespace oriolefall::backend {

event_stream_parser::event_stream_parser(std::size_t max_event_bytes)
    : max_event_bytes_(max_event_bytes)
{
}

bool event_stream_parser::feed(std::string_view bytes,
                               std::vector<stream_event>& out)
{
    pending_.append(bytes);
    std::string_view unparsed = pending_;
    while (true) {
        const std::size_t end = unparsed.find('\n');
        if (end == std::string_view::npos)
            break;
        parse_line(unparsed.substr(0, end), out);
        unparsed.remove_prefix(end + 1);
    }
    pending_.erase(0, pending_.size() - unparsed.size());
    return pending_.size() + event_.data.size() <= max_event_bytes_;
}

void event_stream_parser::parse_line(std::string_view line,
                                     std::vector<stream_event>& out)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (has_data_)
            out.push_back(event_);
        event_.data.clear();
        has_data_ = false;
        return;
    }
    const std::size_t colon = line.find(':');
    std::string_view value =
        colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    parse_field(line.substr(0, colon), value);
}

void event_stream_parser::parse_field(std::string_view name,
                                      std::string_view value)
{
    if (name == "id")
        event_.id = std::string(value);
    if (name != "data")
        return;
    if (std::exchange(has_data_, true))
        event_.data += '\n';
    event_.data += value;
}

} // namespace oriolefall::backend
