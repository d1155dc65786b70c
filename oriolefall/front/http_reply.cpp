#include "oriolefall/front/http_reply.hpp"

#include <httplib.h>

namespace oriolefall::front {

void set_reply(const error_reply& reply, httplib::Response& response)
{
    response.status = reply.status;
    response.set_content(reply.body, json_type);
    if (reply.retry_after_seconds)
        response.set_header("Retry-After",
                            std::to_string(*reply.retry_after_seconds));
}

} // namespace oriolefall::front
