#ifndef ORIOLEFALL_STAND_INS_ENGINE_SERVER_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_SERVER_HPP

#include "stand_ins/engine_codec.hpp"
#include "stand_ins/engine_scheduler.hpp"
#include "stand_ins/http_host.hpp"

#include <atomic>
#include <cstdint>

namespace oriolefall::stand_ins {

/// A model engine behind HTTP, as docs/STAND_INS.md says.
class engine_server
{
public:
    engine_server(const engine_settings& settings, const host_settings& host);

    /// The port taken; 0 when it could not be had.
    [[nodiscard]] std::uint16_t port() const noexcept
    {
        return host_.port();
    }

private:
    void add_routes(httplib::Server& server);
    void complete(const httplib::Request& request, httplib::Response& response);
    void begin_answer(const generation_request& request,
                      const std::shared_ptr<stream_ring>& events,
                      httplib::Response& response);
    void give_order(const httplib::Request& request,
                    httplib::Response& response);
    void set_faults(const httplib::Request& request,
                    httplib::Response& response);

    engine_scheduler scheduler_;
    std::atomic<std::uint64_t> last_id_ = 0;
    http_host host_;
};

} // namespace oriolefall::stand_ins

#endif
