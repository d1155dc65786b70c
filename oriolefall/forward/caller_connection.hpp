#ifndef ORIOLEFALL_FORWARD_CALLER_CONNECTION_HPP
#define ORIOLEFALL_FORWARD_CALLER_CONNECTION_HPP

#include "oriolefall/forward/byte_budget.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/net/beast.hpp"
#include "oriolefall/net/guarded.hpp"
#include "oriolefall/net/message_parser.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <absl/time/time.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace oriolefall::forward {

/// A complete request, with its share of the memory for bodies.
struct caller_request
{
    net::received_request message;
    byte_share body_share;
    /// When its first byte arrived.
    absl::Time received_at;
};

class caller_connection;

/// Callbacks from a caller's connection to its owner.
struct caller_hooks
{
    /// A complete request was read.
    std::function<void(caller_connection&, caller_request)> on_request;
    /// The caller disconnected before its request was answered.
    std::function<void()> on_disconnected;
    /// All queued bytes were written while a request is open.
    std::function<void()> on_drained;
    /// The connection is closed; called once.
    std::function<void(caller_connection&)> on_closed;
    /// Returns the limits currently in force.
    std::function<routing::caller_limits()> limits;
    /// Reading the request threw; the connection ends.
    net::read_error_hook read_error;
};

/// One connection of a caller: reads one request at a time and writes its
/// answer. Keeps reading while a request is open, so that a disconnected
/// caller is detected at once. Runs on the forwarding thread.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    /// `body_budget`: memory for the bodies of all requests, also while they
    /// arrive.
    caller_connection(tcp::socket socket, const forward_settings& settings,
                      byte_budget& body_budget, caller_hooks hooks);

    void start();
    /// Queues bytes of the answer.
    void write(std::string bytes);
    /// Ends the answer. With `keep_alive` the connection then accepts another
    /// request, unless it has to close anyway.
    void finish(bool keep_alive);
    /// Closes the connection at once; an answer in progress stays incomplete.
    void abort();
    /// This instance is leaving: the connection accepts no request after the
    /// open one.
    void leave();
    /// Refuses the request that is arriving, and accepts none after that.
    void refuse_requests();
    /// Closes the connection at once; only an answer that was not written whole
    /// stays incomplete.
    void stop();
    /// Bytes of the answer that are queued and not yet written.
    [[nodiscard]] std::size_t unsent_bytes() const;
    /// True when the connection closes after the current answer.
    [[nodiscard]] bool closes_after_answer() const;
    /// True when the caller understands chunked transfer coding (HTTP/1.1).
    [[nodiscard]] bool supports_chunked() const;

private:
    enum class state
    {
        idle,    ///< no bytes of the next request have arrived
        reading, ///< a request is being read
        open,    ///< a complete request is not yet answered
        closing  ///< waits until the caller has read the last answer
    };

    void read();
    void on_read(const error_code& error, std::size_t bytes);
    /// Parses what has arrived; ends the connection if that fails.
    void parse();
    void parse_request();
    void begin_request();
    void deliver_request();
    void reject_request(net::message_fault fault);
    /// Refuses the request that is arriving; the caller may send it again.
    void refuse_request();
    void reject(std::string answer);
    void send_continue();
    void write_next();
    void on_written(const error_code& error);
    void start_timer(std::chrono::milliseconds timeout);
    void on_timeout();
    /// True while the caller takes what is queued for it, if slowly.
    [[nodiscard]] bool takes_answer() const;
    /// Handles a broken connection; reports the disconnect when a request is
    /// open.
    void on_connection_lost();
    void close();
    /// Closes only the sending side and waits for the caller to close, so that
    /// a reset doesn't discard what was written.
    void shut_down_send();
    /// Waits for the caller to take the rest of its answer and to close.
    void close_after_answer();

    tcp::socket socket_;
    const forward_settings& settings_;
    byte_budget& body_budget_;
    caller_hooks hooks_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<net::request_parser> parser_;
    byte_share body_share_;
    routing::caller_limits limits_;
    std::deque<std::string> write_queue_;
    std::size_t unsent_bytes_ = 0;
    /// Number of queued pieces in the write that is in progress.
    std::size_t pieces_in_write_ = 0;
    /// Bytes written since the timer was started.
    std::size_t bytes_taken_ = 0;
    /// The caller was still taking its last answer when its time was over.
    bool is_slow_ = false;
    absl::Time received_at_;
    state state_ = state::idle;
    bool is_reading_ = false;
    bool is_keep_alive_ = true;
    bool supports_chunked_ = true;
    bool is_leaving_ = false;
    bool has_sent_continue_ = false;
    bool is_closed_ = false;
};

} // namespace oriolefall::forward

#endif
