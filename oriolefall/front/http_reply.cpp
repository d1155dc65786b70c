#include "oriolefall/front/http_reply.hpp"

#include "oriolefall/core/concat.hpp"

#include <httplib.h>

namespace oriolefall::front {

void set_reply(const error_reply& reply, httplib::Response& response)
{
    response.status = reply.status;
    response.set_content(reply.body, json_content_type);
    if (reply.retry_after_seconds)
        response.set_header("Retry-After",
                            std::to_string(*reply.retry_after_seconds));
}

std::string encode_closing_reply(const error_reply& reply)
{
    const std::string retry_after =
        reply.retry_after_seconds
            ? core::concat("Retry-After: ", *reply.retry_after_seconds, "\r\n")
            : "";
    return core::concat(
        "HTTP/1.1 ", reply.status, " ",
        "\r\nConnection: close\r\nContent-Type: ", json_content_type, "\r\n",
        retry_after, "Content-Length: ", reply.body.size(), "\r\n\r\n",
        reply.body);
}

} // namespace oriolefall::front
