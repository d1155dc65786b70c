#ifndef ORIOLEFALL_STAND_INS_PLATFORM_SERVER_HPP
#define ORIOLEFALL_STAND_INS_PLATFORM_SERVER_HPP

#include "stand_ins/http_host.hpp"
#include "stand_ins/platform_thread.hpp"

#include <cstdint>

namespace oriolefall::stand_ins {

/// The platform's object API and instance list behind HTTP, as
/// docs/STAND_INS.md says.
class platform_server
{
public:
    /// `history`: changes that a watch can still be told.
    platform_server(std::size_t history, const host_settings& host);

    /// The port taken; 0 when it could not be had.
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return host_.port();
    }

private:
    void add_routes(httplib::Server& server);
    void add_object_routes(httplib::Server& server);
    void add_instance_routes(httplib::Server& server);
    void add_control_routes(httplib::Server& server);
    /// Asks the owner of the state and writes its reply, or cuts the
    /// connection where the reply is to be lost.
    void handle(platform_request what, const httplib::Request& request,
                httplib::Response& response);

    platform_thread thread_;
    http_host host_;
};

} // namespace oriolefall::stand_ins

#endif
