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
    /// Last `id:` seen; empty when none was.
    std::string id;
    std::string data;
    auto operator<=>(const stream_event&) const = default;
};

/// Splits a byte stream into server-sent events (WHATWG HTML, section 9.2).
/// One thread at a time.
class event_stream_parser
{
public:
    /// `max_event_bytes`: a longer line or event is an error.
    explicit event_stream_parser(std::size_t max_event_bytes);

    /// Takes the next bytes and adds the events that they complete to `out`.
    /// False when an event was too large; the stream is then of no use.
    bool feed(std::string_view bytes, std::vector<stream_event>& out);

private:
    void take_line(std::string_view line, std::vector<stream_event>& out);
    void take_field(std::string_view name, std::string_view value);

    std::size_t max_event_bytes_;
    std::string pending_;
    stream_event event_;
    bool has_data_ = false;
};

} // namespace oriolefall::backend

#endif
