#ifndef ORIOLEFALL_TESTS_PEER_ANY_MESSAGE_HPP
#define ORIOLEFALL_TESTS_PEER_ANY_MESSAGE_HPP

#include "oriolefall/peer/message.hpp"

namespace oriolefall::tests {

/// Generates a message of arbitrary kind and content. To be called only inside
/// a RapidCheck property.
[[nodiscard]] peer::message any_message();

} // namespace oriolefall::tests

#endif
