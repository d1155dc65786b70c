#ifndef ORIOLEFALL_NET_GUARDED_HPP
#define ORIOLEFALL_NET_GUARDED_HPP

#include <exception>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace oriolefall::net {

/// Told what a reader of foreign bytes threw; `reader` names what it reads.
/// Called on the reader's thread; must not block.
using read_error_hook =
    std::function<void(std::string_view reader, std::string_view cause)>;

/// Runs `read`, which reads what somebody else has sent. False if it threw: an
/// error there ends one message or connection, never the process.
template <class Read>
[[nodiscard]] bool run_guarded(const read_error_hook& on_error,
                               std::string_view reader, Read read)
{
    try {
        read();
        return true;
    } catch (const std::exception& error) {
        on_error(reader, error.what());
        return false;
    }
}

/// A parse function that has no value where `parse` throws.
template <class Value, class... Arguments>
[[nodiscard]] std::function<std::optional<Value>(Arguments...)>
guarded(read_error_hook on_error, std::string_view reader,
        std::function<std::optional<Value>(Arguments...)> parse)
{
    return [on_error = std::move(on_error), reader,
            parse = std::move(parse)](Arguments... arguments) {
        std::optional<Value> value;
        static_cast<void>(run_guarded(on_error, reader, [&] {
            value = parse(std::forward<Arguments>(arguments)...);
        }));
        return value;
    };
}

} // namespace oriolefall::net

#endif
