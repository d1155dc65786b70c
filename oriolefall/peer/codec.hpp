#ifndef ORIOLEFALL_PEER_CODEC_HPP
#define ORIOLEFALL_PEER_CODEC_HPP

#include "oriolefall/peer/message.hpp"
#include "oriolefall/peer/refusal.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::peer {

/// Encodes a message as a MessagePack array: its kind, then its fields. New
/// fields are only appended to an array, so that an older release can still
/// read the fields that it knows. Any thread.
[[nodiscard]] std::string encode(const message& value);

/// Decodes the output of `encode`. Arbitrary bytes yield either a message or a
/// refusal: `malformed`, or `unknown_message` for a kind that a newer release
/// has added. Any thread.
[[nodiscard]] std::variant<message, refusal> decode(std::string_view bytes);

} // namespace oriolefall::peer

#endif
