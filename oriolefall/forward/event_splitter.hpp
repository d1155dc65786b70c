#ifndef ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP
#define ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into
/// complete events, so that a stream that breaks inside an event can be resumed
/// at another server after the last complete event. Not thread-safe.
class event_splitter
{
public:
    /// Events with ids up to `last_delivered_id` are dropped, because the
    /// caller already has them.
    explicit event_splitter(
        std::optional<std::uint64_t> last_delivered_id = std::nullopt);

    /// Appends received bytes and returns the events that are now complete.
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// True when bytes of an event have been received, but not its end.
    [[nodiscard]] bool is_inside_event() const;

    /// Id of the last complete event that had one; the constructor's id before
    /// that.
    [[nodiscard]] std::optional<std::uint64_t> last_event_id() const;
    /// Number of complete events returned so far.
    [[nodiscard]] std::uint32_t event_count() const;
    /// Bytes of an event that is not complete.
    [[nodiscard]] std::size_t pending_bytes() const;

private:
    [[nodiscard]] std::size_t find_event_end(std::size_t from) const;
    /// True when the event's id shows that the caller already has it;
    /// otherwise its id becomes the last one.
    [[nodiscard]] bool is_duplicate(std::string_view event);

    std::string buffer_;
    /// Position in `buffer_` before which no event ends.
    std::size_t search_from_ = 0;
    std::optional<std::uint64_t> last_event_id_;
    std::uint32_t event_count_ = 0;
};

} // namespace oriolefall::forward

#endif
