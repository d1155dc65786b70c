#include "oriolefall/peer/codec.hpp"

#include "oriolefall/peer/message_reader.hpp"
#include "oriolefall/peer/message_writer.hpp"

#include <msgpack.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace oriolefall::peer {

std::string encode(const message& value)
{
    return detail::write_message(value);
}

std::variant<message, refusal> decode(std::string_view bytes)
{
    try {
        const msgpack::object_handle handle = detail::unpack_bounded(bytes);
        detail::field_reader fields(handle.get());
        const std::uint64_t kind = fields.read_number();
        std::optional<message> value = detail::read_message(fields, kind);
        if (!value)
            return refusal::unknown_message;
        return *std::move(value);
    } catch (const std::exception&) {
        // Of msgpack, or of memory: either way the message can't be read.
        return refusal::malformed;
    }
}

} // namespace oriolefall::peer
