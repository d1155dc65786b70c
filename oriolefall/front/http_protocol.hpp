#ifndef ORIOLEFALL_FRONT_HTTP_PROTOCOL_HPP
#define ORIOLEFALL_FRONT_HTTP_PROTOCOL_HPP

#include "oriolefall/front/connection.hpp"
#include "oriolefall/front/front_settings.hpp"

#include <httplib.h>

namespace oriolefall::front {

/// The HTTP library's server without its listener and its threads: parses a
/// request from a connection, finds its route and writes the answer. Routes
/// are set up before the first request; then many workers may use it.
///
/// The library's own listener is not used since its stop cuts streamed
/// answers, its waits poll every few milliseconds, and a connection beyond
/// the size of its pool waits without an answer.
class http_protocol : public httplib::Server
{
public:
    explicit http_protocol(const front_settings& settings);

    /// Answers one request that has begun to come. `last`: tells the caller
    /// that the connection will be closed. False when it must be closed.
    [[nodiscard]] bool serve_one(connection& caller, bool last);

private:
    /// Keeps the library from work on a request that it does not bound.
    static void tame(httplib::Request& request);
};

} // namespace oriolefall::front

#endif
