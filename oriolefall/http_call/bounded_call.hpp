#ifndef ORIOLEFALL_HTTP_CALL_BOUNDED_CALL_HPP
#define ORIOLEFALL_HTTP_CALL_BOUNDED_CALL_HPP

#include <httplib.h>

#include <cstddef>

namespace oriolefall::http_call {

/// Sends a request and receives the whole answer. One whose body exceeds
/// `max_body_bytes` is given up (`httplib::Error::Canceled`): by itself
/// cpp-httplib receives for as long as bytes come. Blocks; as thread-safe as
/// `client`.
[[nodiscard]] httplib::Result send_bounded(httplib::Client& client,
                                           httplib::Request request,
                                           std::size_t max_body_bytes);

} // namespace oriolefall::http_call

#endif
