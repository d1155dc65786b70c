#ifndef ORIOLEFALL_HTTP_CALL_BOUNDED_CALL_HPP
#define ORIOLEFALL_HTTP_CALL_BOUNDED_CALL_HPP

#include <httplib.h>

#include <cstddef>
#include <string>

namespace oriolefall::http_call {

/// A request; a body is JSON.
[[nodiscard]] httplib::Request make_request(const char* method,
                                            const std::string& target,
                                            httplib::Headers headers = {},
                                            std::string body = {});

/// Sends a request and receives the whole answer. One whose body exceeds
/// `max_body_bytes` is given up (`httplib::Error::Canceled`): by itself
/// cpp-httplib receives for as long as bytes come. Blocks; as thread-safe as
/// `client`.
[[nodiscard]] httplib::Result send_bounded(httplib::Client& client,
                                           httplib::Request request,
                                           std::size_t max_body_bytes);

} // namespace oriolefall::http_call

#endif
