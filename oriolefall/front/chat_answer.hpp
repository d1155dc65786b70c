#ifndef ORIOLEFALL_FRONT_CHAT_ANSWER_HPP
#define ORIOLEFALL_FRONT_CHAT_ANSWER_HPP

#include "oriolefall/front/answer_reader.hpp"
#include "oriolefall/front/chat_codec.hpp"

#include <string>

namespace httplib {
struct Response;
} // namespace httplib

namespace oriolefall::front {

/// Answers with server-sent events. The status is sent with the first token,
/// so a request that ends before it gets an error of its own status; one that
/// breaks later ends with an `error` event and no `[DONE]`.
void answer_with_events(answer_reader reader, chat_heading heading,
                        const presence_hook& caller_here,
                        httplib::Response& response);

/// Waits for the whole answer and gives it as one JSON object.
void answer_with_completion(answer_reader reader, const chat_heading& heading,
                            std::uint32_t prompt_tokens,
                            const presence_hook& caller_here,
                            httplib::Response& response);

/// Waits for the answer of a plain service and passes it on.
void answer_with_body(answer_reader reader, const presence_hook& caller_here,
                      httplib::Response& response);

} // namespace oriolefall::front

#endif
