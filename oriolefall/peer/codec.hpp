#ifndef ORIOLEFALL_PEER_CODEC_HPP
#define ORIOLEFALL_PEER_CODEC_HPP

#include "oriolefall/peer/message.hpp"
#include "oriolefall/peer/refusal.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::peer {

/// Writes a message as a MessagePack array: its kind, then its fields. Fields
/// are only ever added at the end of an array, so an older release reads what
/// it knows. Any thread.
[[nodiscard]] std::string encode(const message& value);

/// Reads what `encode` wrote. Any bytes give a message or a refusal:
/// `malformed`, or `unknown_message` for a kind of a newer release.
/// Any thread.
[[nodiscard]] std::variant<message, refusal> decode(std::string_view bytes);

} // namespace oriolefall::peer

#endif
