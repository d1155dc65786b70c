#ifndef ORIOLEFALL_FRONT_HTTP_PROTOCOL_HPP
#define ORIOLEFALL_FRONT_HTTP_PROTOCOL_HPP

#include "oriolefall/front/connection.hpp"
#include "oriolefall/front/front_settings.hpp"

#include <httplib.h>

namespace oriolefall::front {

/// The HTTP library's server without its listener and threads: parses a
/// request from a connection, dispatches it to its route and writes the
/// answer. All routes must be registered before the first request; from then
/// on it is thread-safe.
///
/// The library's own listener is not used because stopping it cuts off
/// streamed answers, its waits poll every few milliseconds, and a connection
/// beyond the size of its thread pool waits without an answer.
class http_protocol : public httplib::Server
{
public:
    explicit http_protocol(const front_settings& settings);

    /// Reads and answers one request whose head has been received. `is_last`
    /// announces to the caller that the connection will be closed. Returns
    /// false when the connection must be closed.
    [[nodiscard]] bool serve_request(connection& caller, bool is_last);

private:
    /// Changes a parsed request so that the library does no work on it whose
    /// stack depth or duration grows without limit.
    static void restrict_parsing(httplib::Request& request);
};

} // namespace oriolefall::front

#endif
