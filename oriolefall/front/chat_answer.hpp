#ifndef ORIOLEFALL_FRONT_CHAT_ANSWER_HPP
#define ORIOLEFALL_FRONT_CHAT_ANSWER_HPP

#include "oriolefall/front/answer_reader.hpp"
#include "oriolefall/front/chat_codec.hpp"

#include <string>

namespace httplib {
struct Response;
} // namespace httplib

namespace oriolefall::front {

/// Streams the answer as server-sent events. The status is sent with the first
/// token: a request that fails before it gets an error with an HTTP status,
/// and one that fails later ends with an `error` event and without `[DONE]`.
void answer_with_events(answer_reader reader, completion_metadata metadata,
                        const connection_check& is_caller_connected,
                        httplib::Response& response);

/// Waits for the whole answer and returns it as one JSON object.
void answer_with_completion(answer_reader reader,
                            const completion_metadata& metadata,
                            std::uint32_t prompt_tokens,
                            const connection_check& is_caller_connected,
                            httplib::Response& response);

/// Waits for the answer of a plain service and forwards it unchanged.
void answer_with_body(answer_reader reader,
                      const connection_check& is_caller_connected,
                      httplib::Response& response);

} // namespace oriolefall::front

#endif
