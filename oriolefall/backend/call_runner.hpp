#ifndef ORIOLEFALL_BACKEND_CALL_RUNNER_HPP
#define ORIOLEFALL_BACKEND_CALL_RUNNER_HPP

#include "oriolefall/backend/call_control.hpp"
#include "oriolefall/backend/call_task.hpp"
#include "oriolefall/backend/call_worker_settings.hpp"
#include "oriolefall/backend/engine_codec.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::backend {

/// Callbacks for events during a call. Called on worker threads; must not
/// block. Events may be lost.
struct call_hooks
{
    std::function<void(const decision::call_progressed&)> on_progress;
    std::function<void(const decision::load_reported&)> on_load_report;
};

/// Makes one call over HTTP and returns its outcome. Not thread-safe.
class call_runner
{
public:
    call_runner(const call_worker_settings& settings, const call_hooks& hooks,
                connection_cache& connections, call_control& control,
                const call_task& task);

    /// Makes the call and blocks until it has ended.
    [[nodiscard]] decision::call_ended run();

private:
    [[nodiscard]] httplib::Request make_request();
    [[nodiscard]] connection_ptr connect();
    bool on_headers(const httplib::Response& response);
    bool on_bytes(std::string_view bytes);
    bool on_event(const stream_event& event);
    bool on_token(const engine_token& token);
    bool deliver(core::answer_part part);
    void report_load(const httplib::Response& response);
    void report_progress();
    [[nodiscard]] decision::call_ended
    make_call_ended(core::verdict verdict) const;
    [[nodiscard]] decision::call_ended
    finish_exchange(httplib::Error error, const httplib::Response& response);
    [[nodiscard]] decision::call_ended finish_answer();
    [[nodiscard]] core::verdict failure_verdict(httplib::Error error) const;

    const call_worker_settings& settings_;
    const call_hooks& hooks_;
    connection_cache& connections_;
    call_control& control_;
    const call_task& task_;
    event_stream_parser parser_;
    std::vector<stream_event> events_;
    std::string body_;
    int status_ = 0;
    /// Index of the last token with text that this call has received.
    std::optional<std::uint64_t> last_index_;
    std::uint64_t next_index_;
    bool is_done_ = false;
    bool has_engine_error_ = false;
    absl::Time last_byte_at_;
};

} // namespace oriolefall::backend

#endif
