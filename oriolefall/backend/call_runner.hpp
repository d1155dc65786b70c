#ifndef ORIOLEFALL_BACKEND_CALL_RUNNER_HPP
#define ORIOLEFALL_BACKEND_CALL_RUNNER_HPP

#include "oriolefall/backend/call_control.hpp"
#include "oriolefall/backend/call_order.hpp"
#include "oriolefall/backend/engine_codec.hpp"
#include "oriolefall/backend/lane_settings.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oriolefall::backend {

/// What a lane tells while a call goes on. Called by lanes' threads; must not
/// block; what is told may be lost.
struct lane_hooks
{
    std::function<void(const decision::call_progressed&)> progressed;
    std::function<void(const decision::load_reported&)> load_reported;
};

/// Carries out one call over HTTP and tells how it ended. One thread.
class call_runner
{
public:
    call_runner(const lane_settings& settings, const lane_hooks& hooks,
                connection_cache& connections, call_control& control,
                const call_order& order);

    /// Makes the call. Blocks until it has ended.
    [[nodiscard]] decision::call_ended run();

private:
    [[nodiscard]] httplib::Request make_request();
    [[nodiscard]] connection_ptr connect();
    bool on_headers(const httplib::Response& response);
    bool on_bytes(std::string_view bytes);
    bool on_event(const stream_event& event);
    bool on_token(const engine_token& token);
    bool deliver(core::answer_part part);
    void tell_load(const httplib::Response& response);
    void tell_progress();
    [[nodiscard]] decision::call_ended ended(core::verdict verdict) const;
    [[nodiscard]] decision::call_ended
    end_of_exchange(httplib::Error error, const httplib::Response& response);
    [[nodiscard]] decision::call_ended end_of_answer();
    [[nodiscard]] core::verdict verdict_of_loss(httplib::Error error) const;

    const lane_settings& settings_;
    const lane_hooks& hooks_;
    connection_cache& connections_;
    call_control& control_;
    const call_order& order_;
    event_stream_parser parser_;
    std::vector<stream_event> events_;
    std::string body_;
    int status_ = 0;
    std::uint64_t next_index_;
    bool done_ = false;
    bool faulty_ = false;
    absl::Time last_byte_;
};

} // namespace oriolefall::backend

#endif
