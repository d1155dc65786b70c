#include "oriolefall/forward/event_splitter.hpp"

#include "oriolefall/core/text.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace oriolefall::forward {

namespace {

constexpr std::string_view id_field = "id:";

/// The number in the event's id line, if it has one.
std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::size_t at = 0;
    while (at < event.size()) {
        const auto end = std::min(event.find('\n', at), event.size());
        const std::string_view line = event.substr(at, end - at);
        at = end + 1;
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

event_splitter::event_splitter(std::optional<std::uint64_t> after)
    : last_id_(after)
{
}

std::string event_splitter::take(std::string_view bytes)
{
    held_ += bytes;
    std::string whole;
    std::size_t begin = 0;
    for (;;) {
        const std::size_t end = end_of_event(std::max(begin, searched_));
        if (end == std::string::npos)
            break;
        const std::string_view event(held_.data() + begin, end - begin);
        if (!is_known(event)) {
            whole += event;
            ++events_;
        }
        begin = end;
        searched_ = end;
    }
    held_.erase(0, begin);
    // The end of an event may be cut in two: three bytes are looked at again.
    searched_ = held_.size() > 3 ? held_.size() - 3 : 0;
    return whole;
}

std::string event_splitter::take_rest()
{
    searched_ = 0;
    return std::exchange(held_, {});
}

std::optional<std::uint64_t> event_splitter::last_id() const
{
    return last_id_;
}

std::uint32_t event_splitter::events() const
{
    return events_;
}

std::size_t event_splitter::end_of_event(std::size_t from) const
{
    const auto plain = held_.find("\n\n", from);
    const auto with_returns = held_.find("\r\n\r\n", from);
    const auto plain_end =
        plain == std::string::npos ? std::string::npos : plain + 2;
    const auto returns_end = with_returns == std::string::npos
                                 ? std::string::npos
                                 : with_returns + 4;
    return std::min(plain_end, returns_end);
}

bool event_splitter::is_known(std::string_view event)
{
    const auto id = id_of(event);
    if (!id)
        return false;
    if (last_id_ && *id <= *last_id_)
        return true;
    last_id_ = id;
    return false;
}

} // namespace oriolefall::forward
