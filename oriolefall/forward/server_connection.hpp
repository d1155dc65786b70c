#ifndef ORIOLEFALL_FORWARD_SERVER_CONNECTION_HPP
#define ORIOLEFALL_FORWARD_SERVER_CONNECTION_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/net/beast.hpp"
#include "oriolefall/net/guarded.hpp"
#include "oriolefall/net/message_parser.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// Why a call failed before its answer was complete.
enum class call_error : std::uint8_t
{
    not_connected,   ///< no connection was opened and nothing was sent
    withheld,        ///< `may_send` was false and nothing was sent
    connection_lost, ///< closed or reset before the end of the answer
    malformed        ///< the received bytes are no valid answer
};

/// What marked the end of a complete answer.
enum class answer_end : std::uint8_t
{
    framing, ///< a length or the last chunk
    close    ///< the server closed the connection
};

/// Callbacks of one call. None is called after `on_done` or `on_failed`, nor
/// after `abort`.
struct call_hooks
{
    /// False for a HEAD, whose answer has a head only.
    bool expects_body = true;
    /// Asked once a new connection is open; false ends the call unsent.
    std::function<bool()> may_send;
    /// Formats the head of the request, right before it is sent.
    std::function<std::string()> format_request_head;
    /// Returns false to discard this answer and wait for the next one.
    std::function<bool(const answer_head&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void(answer_end)> on_done;
    std::function<void(call_error)> on_failed;
};

/// One connection to a backend server, which carries one call at a time. It
/// also reads while idle, so that a close by the server is detected. Runs on
/// the forwarding thread.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    struct owner_hooks
    {
        /// Called once, when the connection can carry no further call.
        std::function<void(server_connection&)> on_closed;
        /// Called each time that the connection can carry the next call.
        std::function<void(server_connection&)> on_idle;
        /// Reading an answer threw; the call fails as malformed.
        net::read_error_hook read_error;
    };

    server_connection(asio::io_context& context,
                      const forward_settings& settings, owner_hooks owner);

    /// Connects to `endpoint` and starts the first call.
    void start(const core::endpoint& endpoint,
               std::shared_ptr<const std::string> body, call_hooks hooks);
    /// Starts the next call on an idle connection.
    void start_next(std::shared_ptr<const std::string> body, call_hooks hooks);
    /// Ends the call and closes the connection without calling any hook of the
    /// call.
    void abort();
    /// Stops reading, because the caller doesn't take the answer fast enough.
    void pause();
    /// Continues reading.
    void resume();
    /// Closes the connection if it is idle.
    void close_if_idle();
    /// Number of calls that the connection has carried before this one.
    [[nodiscard]] std::uint32_t earlier_calls() const;
    /// Answers to other requests may still arrive, late: this is not the first
    /// one, or one has come already.
    [[nodiscard]] bool has_carried_other_answers() const;
    /// Sets the timeout after which the server closes an idle connection.
    void set_keep_alive_timeout(std::chrono::milliseconds timeout);

private:
    void connect(const core::endpoint& endpoint);
    void on_connected(const error_code& error);
    void set_options();
    void send();
    void read();
    void on_read(const error_code& error, std::size_t bytes);
    void parse();
    /// After the head of an interim (1xx) answer the parser expects another.
    void handle_head();
    void deliver_body();
    void reset_parser();
    void finish_answer();
    void on_request_written(const error_code& error);
    /// The server has sent its last byte.
    void on_end_of_stream();
    void fail(call_error error);
    void close();
    void become_idle();

    asio::io_context& context_;
    const forward_settings& settings_;
    owner_hooks owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<net::answer_parser> parser_;
    /// Hooks of the current call; null while idle. Shared, as a hook may end
    /// the call that it belongs to.
    std::shared_ptr<const call_hooks> call_;
    std::shared_ptr<const std::string> body_;
    std::string request_head_;
    std::chrono::milliseconds idle_timeout_;
    std::uint32_t earlier_calls_ = 0;
    unsigned discarded_answers_ = 0;
    bool is_connected_ = false;
    bool is_request_written_ = false;
    bool has_write_failed_ = false;
    /// The server has ended the connection while the request is being written.
    bool is_end_of_stream_pending_ = false;
    bool is_reading_ = false;
    bool is_paused_ = false;
    bool is_answer_discarded_ = false;
    /// Interim answers before the current answer.
    unsigned interim_answers_ = 0;
    /// Bytes of answers to other requests, during the current call.
    std::size_t discarded_bytes_ = 0;
    bool is_closed_ = false;
};

/// How long this side keeps a connection idle to a server that announces
/// `keep_alive_timeout`: shorter by the margin, by at most half of the timeout,
/// so that no request is sent while the server closes the connection.
[[nodiscard]] std::chrono::milliseconds
safe_idle_timeout(std::chrono::milliseconds keep_alive_timeout,
                  std::chrono::milliseconds margin);

} // namespace oriolefall::forward

#endif
