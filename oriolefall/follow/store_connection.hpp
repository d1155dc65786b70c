#ifndef ORIOLEFALL_FOLLOW_STORE_CONNECTION_HPP
#define ORIOLEFALL_FOLLOW_STORE_CONNECTION_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/net/beast.hpp"
#include "oriolefall/net/message_parser.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolefall::follow {

/// One call to the store.
struct store_request
{
    http::verb method = http::verb::get;
    std::string target;
    /// JSON text; empty without a body.
    std::string body;
    /// Time until the answer has to start, and upper bound of the gap between
    /// two pieces of it.
    std::chrono::milliseconds timeout{1200};
    /// Names and values of further header fields.
    std::vector<std::pair<std::string, std::string>> fields{};
};

struct store_answer
{
    unsigned status = 0;
    std::string body;
    http::fields header{};
};

/// No complete answer was received; the store may have executed the call.
struct store_failure
{
    std::string cause;
};

using store_result = std::variant<store_answer, store_failure>;

/// True for an answer with a 2xx status. Thread-safe.
[[nodiscard]] bool is_success(const store_result& result);

struct store_connection_settings
{
    /// Maximum time for which sent bytes may stay unacknowledged.
    std::chrono::milliseconds ack_timeout{1500};
    /// Closes with a reset, also when the process ends: bytes that are not yet
    /// sent or acknowledged are dropped instead of being sent later.
    bool resets_on_close = false;
    /// Least time between the starts of two calls. A call that is made earlier
    /// waits.
    std::chrono::milliseconds min_call_interval{0};
};

/// For connections on which pages of lists follow each other: however fast the
/// store answers, a list makes 50 calls per second at most.
inline constexpr store_connection_settings list_connection_settings{
    .min_call_interval = std::chrono::milliseconds(20)};

/// A connection to the store that is reused between calls, one call at a time.
/// It is closed after a failed call. Called on the store thread.
class store_connection : public std::enable_shared_from_this<store_connection>
{
public:
    using result_hook = std::function<void(store_result)>;
    /// Whether the bytes of a call may be written now.
    using send_check = std::function<bool()>;

    store_connection(asio::io_context& context, core::endpoint store,
                     store_connection_settings settings = {});
    /// `may_send` is asked right before the bytes are written, on a connection
    /// that is established. If it says no, nothing is written and the call
    /// fails.
    void call(const store_request& request, result_hook on_result,
              send_check may_send = nullptr);

private:
    /// Bytes came while no call was made, which answer none, or the other side
    /// has closed the connection.
    [[nodiscard]] bool is_unusable();
    /// Sends the call, on a new connection if there is none that can be used.
    void start();
    void set_options();
    void send();
    void receive();
    void receive_some();
    void on_received(const error_code& error, std::size_t bytes);
    /// Maximum gap between two pieces of an answer.
    [[nodiscard]] std::chrono::milliseconds next_piece_timeout() const;
    /// Ends the call without an answer, and closes the connection.
    void fail(const std::string& cause);
    /// Ends the call with the answer that the parser holds.
    void complete();
    void end_call(store_result result);

    asio::io_context& context_;
    core::endpoint store_;
    store_connection_settings settings_;
    /// Waits until the next call may start.
    asio::steady_timer start_timer_;
    std::chrono::steady_clock::time_point next_start_at_{};
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<net::answer_parser> parser_;
    result_hook on_result_;
    send_check may_send_;
    std::chrono::milliseconds timeout_{0};
};

} // namespace oriolefall::follow

#endif
