#ifndef ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP
#define ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP

#include "oriolefall/forward/event_form.hpp"

#include <compare>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// What received bytes have completed.
struct split_result
{
    /// Whole events that the caller doesn't have yet.
    std::string events;
    /// What follows `events` is no event of the stream.
    std::optional<event_fault> fault;
    auto operator<=>(const split_result&) const = default;
};

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into
/// complete events, so that a stream that breaks inside an event can be resumed
/// at another server after the last complete event. Lets nothing through that
/// is no event with a rising number. Not thread-safe.
class event_splitter
{
public:
    /// Events with ids up to `last_delivered_id` are dropped, because the
    /// caller already has them.
    explicit event_splitter(
        std::optional<std::uint64_t> last_delivered_id = std::nullopt,
        std::size_t max_event_bytes = std::numeric_limits<std::size_t>::max());

    /// Appends received bytes and returns the events that are now complete.
    /// After a fault the splitter can't be used any more.
    [[nodiscard]] split_result feed(std::string_view bytes);
    /// True when bytes of an event have been received, but not its end.
    [[nodiscard]] bool is_inside_event() const;

    /// Id of the last event returned; the constructor's id before that.
    [[nodiscard]] std::optional<std::uint64_t> last_event_id() const;
    /// Number of complete events returned so far.
    [[nodiscard]] std::uint32_t event_count() const;
    /// Bytes of an event that is not complete.
    [[nodiscard]] std::size_t pending_bytes() const;

private:
    /// Reads the line from `line_begin_` to `line_end`.
    void read_line(std::size_t line_end, split_result& result);
    /// Takes the event that ends at `event_end`.
    void take_event(std::size_t event_end, split_result& result);
    /// Returns an event with this number, unless the caller has it.
    void take_numbered(std::string_view event, std::uint64_t number,
                       split_result& result);

    std::size_t max_event_bytes_;
    std::string buffer_;
    /// Positions in `buffer_`: of the event and of the line that aren't
    /// complete, and before which no line ends.
    std::size_t event_begin_ = 0;
    std::size_t line_begin_ = 0;
    std::size_t search_from_ = 0;
    bool is_first_line_ = true;
    event_form_reader reader_;
    /// Of the events received, whether returned or not.
    std::optional<std::uint64_t> last_received_id_;
    std::optional<std::uint64_t> last_returned_id_;
    std::uint32_t event_count_ = 0;
};

} // namespace oriolefall::forward

#endif
