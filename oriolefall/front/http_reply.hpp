#ifndef ORIOLEFALL_FRONT_HTTP_REPLY_HPP
#define ORIOLEFALL_FRONT_HTTP_REPLY_HPP

#include "oriolefall/front/error_reply.hpp"

namespace httplib {
struct Response;
} // namespace httplib

namespace oriolefall::front {

inline constexpr const char* json_type = "application/json";

/// Turns an error into an HTTP answer.
void set_reply(const error_reply& reply, httplib::Response& response);

} // namespace oriolefall::front

#endif
