#ifndef ORIOLEFALL_PEER_MESSAGE_READER_HPP
#define ORIOLEFALL_PEER_MESSAGE_READER_HPP

#include "oriolefall/peer/field_reader.hpp"
#include "oriolefall/peer/message.hpp"

#include <cstdint>
#include <optional>

namespace oriolefall::peer::detail {

/// Reads the fields of a message of this kind; empty if the kind is unknown.
/// Throws what `field_reader` throws.
[[nodiscard]] std::optional<message> read_message(field_reader& from,
                                                  std::uint64_t kind);

} // namespace oriolefall::peer::detail

#endif
