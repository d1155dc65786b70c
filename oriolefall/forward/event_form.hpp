#ifndef ORIOLEFALL_FORWARD_EVENT_FORM_HPP
#define ORIOLEFALL_FORWARD_EVENT_FORM_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace oriolefall::forward {

/// Why the bytes of a stream are no event that a run has made.
enum class event_fault : std::uint8_t
{
    not_text,     ///< a zero byte or return, or bytes that are not UTF-8
    unknown_line, ///< no comment, and no field with a name in lower case
    no_number,    ///< no id, several, or one that is no number
    no_data,      ///< no data field
    out_of_order, ///< a number that is not above that of the event before
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

/// Checks one server-sent event (WHATWG HTML, section 9.2), line by line.
/// Beyond the standard each event has a number, and a field that the standard
/// doesn't know has a name in lower case and a colon. Not thread-safe.
class event_form_reader
{
public:
    /// Reads the next line, without its end. False when it is no line of an
    /// event; `result` then says why.
    bool read(std::string_view line);
    /// The form of the event whose lines were read.
    [[nodiscard]] event_form result() const;
    /// A field was read, so that this is the beginning of an event.
    [[nodiscard]] bool has_fields() const;

private:
    bool fail(event_fault fault);
    bool read_number(std::string_view text);

    std::optional<event_fault> fault_;
    std::optional<std::uint64_t> number_;
    bool has_fields_ = false;
    bool has_data_ = false;
};

/// The number in the value of an id field, or of a Last-Event-ID header field.
/// Thread-safe.
[[nodiscard]] std::optional<std::uint64_t>
parse_event_number(std::string_view text);

} // namespace oriolefall::forward

#endif
