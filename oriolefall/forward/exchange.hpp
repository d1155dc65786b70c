#ifndef ORIOLEFALL_FORWARD_EXCHANGE_HPP
#define ORIOLEFALL_FORWARD_EXCHANGE_HPP

#include "oriolefall/dispatch/call_restrictions.hpp"
#include "oriolefall/forward/caller_connection.hpp"
#include "oriolefall/forward/event_splitter.hpp"
#include "oriolefall/forward/http_text.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/forward/server_connection_pool.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// Reports an event to the deciding duty. Never blocks.
using event_sink = std::function<void(dispatch::event)>;

/// One request and its answer: executes the actions that were decided for the
/// request and forwards the answer as it arrives. A stream that is resumed at
/// another server remains one answer to the caller. Runs on the forwarding
/// thread.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    struct dependencies
    {
        asio::io_context& context;
        const forward_settings& settings;
        const protocol_hooks& protocol;
        server_connection_pool& servers;
        /// What servers have said, known here before any decision is.
        dispatch::call_restrictions& restrictions;
        event_sink report;
        /// The exchange has finished; called once, as the last hook.
        std::function<void(core::request_id)> on_finished;
    };

    exchange(core::request_id id, caller_request request,
             std::shared_ptr<caller_connection> caller,
             dependencies dependencies);

    void execute(const dispatch::send_call& action);
    void execute(const dispatch::cancel_call& action);
    void execute(const dispatch::forward_error_answer& action);
    void execute(const dispatch::refuse& action);
    /// The caller closed its connection.
    void on_caller_disconnected();
    /// All bytes queued for the caller have been written.
    void on_caller_drained();
    /// Gives the request up, because this instance stops: with an error answer
    /// where none has begun.
    void give_up();

private:
    /// How the answer of the current call is forwarded to the caller.
    enum class forwarding
    {
        undecided, ///< the answer's head has not arrived
        buffered,  ///< buffered until it is complete
        streamed,  ///< forwarded in pieces of any size
        events,    ///< forwarded event by event
        discarded  ///< read and discarded
    };

    [[nodiscard]] call_hooks make_call_hooks(core::call_id call);
    [[nodiscard]] std::string format_request_head();
    /// False when the server has said that it takes no calls, perhaps after it
    /// was chosen.
    [[nodiscard]] bool may_send() const;
    void record_restrictions();
    bool on_head(const answer_head& head);
    /// Why this is no head of an answer to the current call; empty if it is.
    [[nodiscard]] std::string_view find_fault(const answer_head& head) const;
    [[nodiscard]] bool expects_event_stream() const;
    void on_body(std::string_view bytes);
    void on_done(answer_end end);
    void on_stream_body(std::string_view bytes);
    void finish_event_stream(answer_end end);
    void on_failed(call_error error);
    /// The server's bytes are no answer to this call. `fault` says why and
    /// refers to a string literal.
    void on_malformed(std::string_view fault);
    void start_event_stream();
    void forward_events(const std::string& events);
    void start_streamed_answer();
    void forward_buffered_answer();
    void write_body(std::string_view bytes);
    void apply_backpressure();
    void abort_call();
    void finish(bool keep_alive);
    /// The request has certainly not run in the current call.
    void report_not_run(dispatch::not_run_cause cause);
    /// The server has said so.
    void report_refused();
    void report_broken(dispatch::broken_cause cause,
                       std::string_view fault = {});
    [[nodiscard]] dispatch::broken_call_details
    broken_details(std::string_view fault) const;
    /// Checks after `timeout` whether the call has stalled.
    void start_stall_timer(absl::Duration timeout);
    void on_stall_timer();

    core::request_id id_;
    request_head request_;
    byte_share body_share_;
    std::shared_ptr<const std::string> body_;
    std::shared_ptr<caller_connection> caller_;
    dependencies dependencies_;
    std::optional<dispatch::send_call> current_call_;
    std::shared_ptr<server_connection> server_;
    answer_head answer_head_;
    answer_head_info head_info_;
    std::string buffered_body_;
    /// Bytes received after such an answer's head.
    std::size_t discarded_bytes_ = 0;
    event_splitter splitter_;
    /// Id of the event after which the current call resumes the stream.
    std::optional<std::uint64_t> resumed_after_;
    /// False once what was passed on of a stream can't be relied on.
    bool may_resume_ = true;
    /// Calls that the current call's connection has carried before it.
    std::uint32_t earlier_calls_ = 0;
    body_framing framing_;
    forwarding forwarding_ = forwarding::undecided;
    /// True when bytes of an answer have been written to the caller.
    bool is_answer_started_ = false;
    bool has_reported_answer_ = false;
    /// A call has been started, so that the request may have run.
    bool has_called_ = false;
    asio::steady_timer stall_timer_;
    absl::Time sent_at_ = absl::InfinitePast();
    /// InfiniteFuture until the current call has brought an event.
    absl::Time last_event_at_ = absl::InfiniteFuture();
    absl::Duration longest_gap_ = absl::ZeroDuration();
    bool is_finished_ = false;
};

} // namespace oriolefall::forward

#endif
