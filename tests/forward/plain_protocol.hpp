#ifndef ORIOLEFALL_TESTS_FORWARD_PLAIN_PROTOCOL_HPP
#define ORIOLEFALL_TESTS_FORWARD_PLAIN_PROTOCOL_HPP

#include "oriolefall/forward/protocol_hooks.hpp"

#include <string>

namespace oriolefall::tests {

/// An encoding for tests: X-Request names a request, X-Signed signs an
/// answer, X-Not-Run says that it did not run, X-After tells the last event.
[[nodiscard]] forward::protocol_hooks plain_protocol();

/// Bytes of a request with this name and body.
[[nodiscard]] std::string request_bytes(const std::string& name,
                                        const std::string& body = "{}",
                                        const std::string& fields = "");
/// A signed answer of a server with its length.
[[nodiscard]] std::string answer_bytes(const std::string& name,
                                       const std::string& body,
                                       const std::string& fields = "");
/// The head of a signed stream of events in chunks.
[[nodiscard]] std::string stream_head(const std::string& name);
/// One event with its id, as a chunk.
[[nodiscard]] std::string event_chunk(int id);

} // namespace oriolefall::tests

#endif
