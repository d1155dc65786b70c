#ifndef ORIOLEFALL_BACKEND_EVENT_STREAM_HPP
#define ORIOLEFALL_BACKEND_EVENT_STREAM_HPP

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolefall::backend {

/// One event of a `text/event-stream`.
struct stream_event
{
    /// Most recent `id:` of the stream; empty before the first one.
    std::string id;
    std::string data;
    auto operator<=>(const stream_event&) const = default;
};

/// Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
/// Not thread-safe.
class event_stream_parser
{
public:
    /// `max_event_bytes`: maximum length of a line or event.
    explicit event_stream_parser(std::size_t max_event_bytes);

    /// Parses the next bytes and appends the events that they complete to
    /// `out`. Returns false if an event is too large; the stream must then be
    /// abandoned.
    bool feed(std::string_view bytes, std::vector<stream_event>& out);

private:
    void parse_line(std::string_view line, std::vector<stream_event>& out);
    void parse_field(std::string_view name, std::string_view value);

    std::size_t max_event_bytes_;
    std::string pending_;
    stream_event event_;
    bool has_data_ = false;
};

} // namespace oriolefall::backend

#endif
