#ifndef ORIOLEFALL_TESTS_FORWARD_TEST_PROTOCOL_HPP
#define ORIOLEFALL_TESTS_FORWARD_TEST_PROTOCOL_HPP

#include "oriolefall/forward/protocol_hooks.hpp"

#include <string>

namespace oriolefall::tests {

/// An encoding for tests. X-Request identifies the request, X-Signed marks a
/// signed answer, X-Not-Run an answer to a request that did not run, X-Leaving
/// one of a server that leaves and X-Quiet the seconds for which it wants no
/// calls. X-After holds the id of the last event that the caller has.
[[nodiscard]] forward::protocol_hooks test_protocol();

/// Formats a request with this name and body.
[[nodiscard]] std::string format_request(const std::string& name,
                                         const std::string& body = "{}",
                                         const std::string& fields = "");
/// Formats a signed server answer with a Content-Length.
[[nodiscard]] std::string format_answer(const std::string& name,
                                        const std::string& body,
                                        const std::string& fields = "");
/// Formats the head of a signed, chunked event stream.
[[nodiscard]] std::string format_stream_head(const std::string& name);
/// Formats one event with this id as a chunk.
[[nodiscard]] std::string format_event_chunk(int id);

} // namespace oriolefall::tests

#endif
