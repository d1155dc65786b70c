#ifndef ORIOLEFALL_FRONT_HTTP_REPLY_HPP
#define ORIOLEFALL_FRONT_HTTP_REPLY_HPP

#include "oriolefall/front/error_reply.hpp"

namespace httplib {
struct Response;
} // namespace httplib

namespace oriolefall::front {

inline constexpr const char* json_type = "application/json";
/// For an answer that nobody reads.
inline constexpr int caller_gone_status = 499;

/// Turns an error into an HTTP answer.
void set_reply(const error_reply& reply, httplib::Response& response);

/// The bytes of an HTTP answer after which the connection is closed, for
/// where there is no request that the library could answer.
[[nodiscard]] std::string closing_reply(const error_reply& reply);

} // namespace oriolefall::front

#endif
