#include "oriolefall/front/http_protocol.hpp"

#include <algorithm>
#include <limits>

namespace oriolefall::front {

namespace {

/// Maximum length of a path that is matched against the routes, in bytes. The
/// routes are regular expressions whose recursion depth grows with the path.
constexpr std::size_t max_path_bytes = 256;
/// Value for the library's listening socket, which is not used. With the
/// library's value for an invalid socket, streamed answers would be cut off.
constexpr int no_listener = std::numeric_limits<int>::max();

} // namespace

http_protocol::http_protocol(const front_settings& settings)
{
    svr_sock_ = no_listener;
    set_payload_max_length(settings.max_body_bytes);
    set_keep_alive_timeout(absl::ToInt64Seconds(settings.idle_timeout));
    set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
}

bool http_protocol::serve_request(connection& caller, bool is_last)
{
    const auto prepare_request = [&caller](httplib::Request& request) {
        restrict_parsing(request);
        request.progress = [&caller](std::uint64_t, std::uint64_t) {
            return caller.is_caller_connected();
        };
    };
    bool close_requested = false;
    const bool is_answered =
        process_request(caller, is_last, close_requested, prepare_request);
    return is_answered && caller.is_reusable() && !close_requested && !is_last;
}

void http_protocol::restrict_parsing(httplib::Request& request)
{
    if (request.path.size() > max_path_bytes)
        request.path.clear();
    // The library would read a body without a length until the caller closes
    // the connection.
    if (!request.has_header("Content-Length") &&
        !request.has_header("Transfer-Encoding"))
        request.set_header("Content-Length", "0");
    // The recursion depth of the library's multipart parser grows with the
    // length of the body.
    if (request.is_multipart_form_data()) {
        request.headers.erase("Content-Type");
        request.set_header("Content-Type", "application/octet-stream");
    }
}

} // namespace oriolefall::front
