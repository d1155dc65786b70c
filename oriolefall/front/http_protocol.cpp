#include "oriolefall/front/http_protocol.hpp"

#include <algorithm>
#include <limits>

namespace oriolefall::front {

namespace {

/// Longest path that is looked for among the routes, which are matched by
/// regular expressions whose depth grows with it. Bytes.
constexpr std::size_t max_path_bytes = 256;
/// Stands for the library's listening socket. Any value but its "invalid"
/// lets streamed answers go on to their end.
constexpr int no_listener = std::numeric_limits<int>::max();

} // namespace

http_protocol::http_protocol(const front_settings& settings)
{
    svr_sock_ = no_listener;
    set_payload_max_length(settings.max_body_bytes);
    set_keep_alive_timeout(absl::ToInt64Seconds(settings.idle_timeout));
    set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
}

bool http_protocol::serve_one(connection& caller, bool last)
{
    const auto set_up = [&caller](httplib::Request& request) {
        tame(request);
        request.progress = [&caller](std::uint64_t, std::uint64_t) {
            return caller.caller_here();
        };
    };
    bool closed = false;
    const bool answered = process_request(caller, last, closed, set_up);
    return answered && caller.sound() && !closed && !last;
}

void http_protocol::tame(httplib::Request& request)
{
    if (request.path.size() > max_path_bytes)
        request.path.clear();
    // A body without a length would be read until the caller closes.
    if (!request.has_header("Content-Length") &&
        !request.has_header("Transfer-Encoding"))
        request.set_header("Content-Length", "0");
    // The library's parser of multipart bodies recurses over their text.
    if (request.is_multipart_form_data()) {
        request.headers.erase("Content-Type");
        request.set_header("Content-Type", "application/octet-stream");
    }
}

} // namespace oriolefall::front
