#ifndef ORIOLEFALL_PEER_MESSAGE_WRITER_HPP
#define ORIOLEFALL_PEER_MESSAGE_WRITER_HPP

#include "oriolefall/peer/message.hpp"

#include <string>

namespace oriolefall::peer::detail {

/// Formats a message as a MessagePack array: its kind, then its fields.
[[nodiscard]] std::string write_message(const message& value);

} // namespace oriolefall::peer::detail

#endif
