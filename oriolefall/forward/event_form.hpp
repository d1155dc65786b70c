#ifndef ORIOLEFALL_FORWARD_EVENT_FORM_HPP
#define ORIOLEFALL_FORWARD_EVENT_FORM_HPP

#include <compare>
#include <cstdint>
#include <string_view>
#include <variant>

namespace oriolefall::forward {

/// Why the bytes of a stream are no event that a run has made.
enum class event_fault : std::uint8_t
{
    not_text,     ///< a control character, or bytes that are not UTF-8
    unknown_line, ///< a line that is neither a field nor a comment
    no_number,    ///< no id, several, or one that is no number
    no_data,      ///< no data field
    out_of_order, ///< a lower number than that of an event before
    too_large     ///< more bytes than an event may have
};

/// The name used in logs.
[[nodiscard]] std::string_view to_string(event_fault value);

/// Comments, or nothing: passed on to nobody, as no reader takes it for an
/// event.
struct comment_only
{
    auto operator<=>(const comment_only&) const = default;
};

/// The number in the id field of a well-formed event.
struct event_number
{
    std::uint64_t value = 0;
    auto operator<=>(const event_number&) const = default;
};

using event_form = std::variant<event_number, comment_only, event_fault>;

/// Checks one server-sent event (WHATWG HTML, section 9.2) with the blank line
/// that ends it. Beyond the standard each event has a number, and the name of a
/// field that the standard doesn't know is in lower case. Thread-safe.
[[nodiscard]] event_form read_event_form(std::string_view event);

} // namespace oriolefall::forward

#endif
