#ifndef ORIOLEFALL_STAND_INS_SERVICE_SERVER_HPP
#define ORIOLEFALL_STAND_INS_SERVICE_SERVER_HPP

#include "stand_ins/http_host.hpp"
#include "stand_ins/service_ledger.hpp"

#include <cstdint>
#include <string>

namespace oriolefall::stand_ins {

/// A plain service that counts how often each call ran, as
/// docs/STAND_INS.md says.
class service_server
{
public:
    /// `delay_ms`: time that each call takes until a fault changes it.
    service_server(std::string id, const host_settings& host,
                   std::uint32_t delay_ms = 0);

    /// The port taken; 0 when it could not be had.
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return host_.port();
    }

private:
    void add_routes(httplib::Server& server);
    void run(const httplib::Request& request, httplib::Response& response);
    void set_faults(const httplib::Request& request,
                    httplib::Response& response);
    void give_stats(httplib::Response& response);

    std::string id_;
    service_ledger ledger_;
    http_host host_;
};

} // namespace oriolefall::stand_ins

#endif
