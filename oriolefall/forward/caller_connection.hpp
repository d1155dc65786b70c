#ifndef ORIOLEFALL_FORWARD_CALLER_CONNECTION_HPP
#define ORIOLEFALL_FORWARD_CALLER_CONNECTION_HPP

#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/net/beast.hpp"
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

using caller_request = http::request<http::string_body>;

class caller_connection;

/// What a connection of a caller tells its owner.
struct caller_hooks
{
    /// A request was read whole. `received`: when its first byte came.
    std::function<void(caller_connection&, caller_request, absl::Time received)>
        request;
    /// The caller went away while its request was open.
    std::function<void()> left;
    /// Bytes that waited for the caller are gone, down to none.
    std::function<void()> drained;
    /// The connection is closed; called once.
    std::function<void(caller_connection&)> closed;
    /// The limits in force.
    std::function<routing::caller_limits()> limits;
};

/// One connection of a caller: reads one request at a time and writes its
/// answer. Goes on reading while a request is open, so that a caller that
/// leaves is seen at once. Forwarding thread.
class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(tcp::socket socket, const forward_settings& settings,
                      caller_hooks hooks);

    void start();
    /// Queues bytes of the answer.
    void write(std::string bytes);
    /// The answer is whole. `keep`: the connection takes another request.
    void finish(bool keep);
    /// Closes at once; an answer under way is left incomplete.
    void abort();
    /// This instance leaves: no request is taken after the open one.
    void leave();
    /// Bytes that the caller has not taken yet.
    [[nodiscard]] std::size_t waiting_bytes() const;
    /// The connection ends after this answer.
    [[nodiscard]] bool closes_after() const;
    [[nodiscard]] bool speaks_chunks() const;

private:
    using parser_type = http::request_parser<http::string_body>;
    enum class state
    {
        idle,
        reading,
        open,
        closing
    };

    void read();
    void on_read(const error_code& error, std::size_t bytes);
    void parse();
    void begin_request();
    void take_request();
    void refuse(const error_code& error);
    void send_continue();
    void write_some();
    void on_written(const error_code& error);
    void start_timer(std::chrono::milliseconds time);
    void on_time_over();
    /// The connection broke: whoever waits for its request hears of it.
    void lose();
    void close();
    /// Ends the sending side and waits for the caller's end, so that what was
    /// written is not lost to a reset.
    void close_gently();

    tcp::socket socket_;
    const forward_settings& settings_;
    caller_hooks hooks_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser_type> parser_;
    routing::caller_limits limits_;
    std::deque<std::string> waiting_;
    std::size_t waiting_bytes_ = 0;
    std::size_t writing_ = 0;
    absl::Time received_;
    state state_ = state::idle;
    bool is_reading_ = false;
    bool keeps_ = true;
    bool chunks_ = true;
    bool leaving_ = false;
    bool told_continue_ = false;
    bool closed_ = false;
};

} // namespace oriolefall::forward

#endif
