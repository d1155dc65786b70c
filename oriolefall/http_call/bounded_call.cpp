#include "oriolefall/http_call/bounded_call.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace oriolefall::http_call {

httplib::Request make_request(const char* method, const std::string& target,
                              httplib::Headers headers, std::string body)
{
    httplib::Request request;
    request.method = method;
    request.path = target;
    request.headers = std::move(headers);
    request.body = std::move(body);
    if (!request.body.empty())
        request.set_header("Content-Type", "application/json");
    return request;
}

httplib::Result send_bounded(httplib::Client& client, httplib::Request request,
                             std::size_t max_body_bytes)
{
    std::string body;
    request.content_receiver =
        [&body, max_body_bytes](const char* bytes, std::size_t size,
                                std::uint64_t, std::uint64_t) {
            if (size > max_body_bytes - body.size())
                return false;
            body.append(bytes, size);
            return true;
        };
    auto response = std::make_unique<httplib::Response>();
    auto error = httplib::Error::Success;
    if (!client.send(request, *response, error))
        return {nullptr, error};
    response->body = std::move(body);
    return {std::move(response), error};
}

} // namespace oriolefall::http_call
