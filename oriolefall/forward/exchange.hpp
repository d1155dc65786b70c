#ifndef ORIOLEFALL_FORWARD_EXCHANGE_HPP
#define ORIOLEFALL_FORWARD_EXCHANGE_HPP

#include "oriolefall/forward/caller_connection.hpp"
#include "oriolefall/forward/event_splitter.hpp"
#include "oriolefall/forward/head_text.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/forward/server_connections.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolefall::forward {

/// Tells the deciding duty what happened. Never blocks.
using tell_hook = std::function<void(dispatch::event)>;

/// One request and its answer: carries out what was decided for it, and
/// passes the answer on as it comes. A stream that goes on at another server
/// stays one answer. Forwarding thread.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    struct surroundings
    {
        asio::io_context& context;
        const forward_settings& settings;
        const protocol_hooks& protocol;
        server_connections& servers;
        tell_hook tell;
        /// The exchange is over; called once, last.
        std::function<void(core::request_id)> over;
    };

    exchange(core::request_id id, caller_request request,
             std::shared_ptr<caller_connection> caller,
             surroundings surroundings);

    void act(const dispatch::send_call& order);
    void act(const dispatch::cancel_call& order);
    void act(const dispatch::forward_error_answer& order);
    void act(const dispatch::refuse& order);
    /// The caller closed its connection.
    void caller_left();
    /// The caller has taken all that waited for it.
    void caller_drained();
    /// Closes both sides; this instance stops.
    void cut();
    [[nodiscard]] std::size_t request_bytes() const;

private:
    /// How the answer of the call under way goes on to the caller.
    enum class passing
    {
        undecided,
        held,   ///< kept until it is whole
        plain,  ///< passed on in pieces
        events, ///< passed on event by event
        dropped ///< read and thrown away
    };

    [[nodiscard]] call_hooks hooks_of(core::call_id call);
    [[nodiscard]] std::string write_head();
    bool on_head(const answer_head& head);
    void on_body(std::string_view bytes);
    void on_done();
    void on_failed(call_fault fault);
    void begin_events();
    void pass_events(const std::string& events);
    void begin_plain();
    void pass_held();
    void send_body(std::string_view bytes);
    void slow_down();
    void drop_call();
    void end(bool keep);
    void tell_broken(dispatch::broken_cause cause);
    /// Tells when the call stays silent for too long.
    void watch_silence(absl::Duration wait);
    void on_silence_check();

    core::request_id id_;
    caller_request request_;
    std::shared_ptr<const std::string> body_;
    std::shared_ptr<caller_connection> caller_;
    surroundings around_;
    std::optional<dispatch::send_call> order_;
    std::shared_ptr<server_connection> server_;
    answer_head head_;
    answer_facts facts_;
    std::string held_;
    event_splitter splitter_;
    body_framing framing_;
    passing passing_ = passing::undecided;
    /// Bytes of an answer have gone to the caller.
    bool begun_ = false;
    bool told_answered_ = false;
    asio::steady_timer silence_;
    absl::Time sent_at_ = absl::InfinitePast();
    absl::Time last_event_at_ = absl::InfiniteFuture();
    absl::Duration longest_gap_ = absl::ZeroDuration();
    bool over_ = false;
};

} // namespace oriolefall::forward

#endif
