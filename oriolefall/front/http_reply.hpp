#ifndef ORIOLEFALL_FRONT_HTTP_REPLY_HPP
#define ORIOLEFALL_FRONT_HTTP_REPLY_HPP

#include "oriolefall/front/error_reply.hpp"

namespace httplib {
struct Response;
} // namespace httplib

namespace oriolefall::front {

inline constexpr const char* json_content_type = "application/json";
/// Status of an answer whose caller has disconnected, so nobody reads it.
inline constexpr int caller_gone_status = 499;

/// Sets the status, body and headers of `response` from an error.
void set_reply(const error_reply& reply, httplib::Response& response);

/// Encodes a whole HTTP answer that announces that the connection is closed.
/// Used where the library has no parsed request to answer.
[[nodiscard]] std::string encode_closing_reply(const error_reply& reply);

} // namespace oriolefall::front

#endif
