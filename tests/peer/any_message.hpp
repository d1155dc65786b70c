#ifndef ORIOLEFALL_TESTS_PEER_ANY_MESSAGE_HPP
#define ORIOLEFALL_TESTS_PEER_ANY_MESSAGE_HPP

#include "oriolefall/peer/message.hpp"

namespace oriolefall::tests {

/// A message of any kind with any content. Inside a RapidCheck property only.
[[nodiscard]] peer::message any_message();

} // namespace oriolefall::tests

#endif
