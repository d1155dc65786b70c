#ifndef ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP
#define ORIOLEFALL_FORWARD_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into whole
/// events, so that a stream that breaks inside an event can go on elsewhere
/// from the event before. One thread.
class event_splitter
{
public:
    /// `after`: events up to this id are dropped, as the caller has them.
    explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt);

    /// Takes bytes as they come; gives the whole events among what is held.
    [[nodiscard]] std::string take(std::string_view bytes);
    /// Bytes after the last whole event; they are given up.
    [[nodiscard]] std::string take_rest();

    /// Number of the last whole event; nothing when it bore none.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const;
    /// Whole events that were given.
    [[nodiscard]] std::uint32_t events() const;

private:
    [[nodiscard]] std::size_t end_of_event(std::size_t from) const;
    /// True when the caller has the event already.
    [[nodiscard]] bool is_known(std::string_view event);

    std::string held_;
    std::size_t searched_ = 0;
    std::optional<std::uint64_t> last_id_;
    std::uint32_t events_ = 0;
};

} // namespace oriolefall::forward

#endif
