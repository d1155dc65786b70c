#ifndef ORIOLEFALL_FORWARD_SERVER_CONNECTION_HPP
#define ORIOLEFALL_FORWARD_SERVER_CONNECTION_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/forward/forward_settings.hpp"
#include "oriolefall/forward/protocol_hooks.hpp"
#include "oriolefall/net/beast.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolefall::forward {

/// How a call on a connection ended early.
enum class call_fault : std::uint8_t
{
    not_connected, ///< nothing was sent
    lost,          ///< closed or reset before the answer's end
    malformed      ///< what came is no answer
};

/// What happens to one call. None is called after `done` or `failed`, nor
/// after `abort`.
struct call_hooks
{
    /// Makes the bytes of the request's head, right before they are sent.
    std::function<std::string()> write_head;
    /// False drops this answer unread: the next one is awaited.
    std::function<bool(const answer_head&)> head;
    std::function<void(std::string_view)> body;
    std::function<void()> done;
    std::function<void(call_fault)> failed;
};

/// One connection to a backend server; one call at a time. A read is always
/// under way while it idles, so that its closing is seen. Forwarding thread.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    /// `ended`: called once, when it can carry no further call.
    /// `idles`: called each time when it can carry the next one.
    struct owner_hooks
    {
        std::function<void(server_connection&)> ended;
        std::function<void(server_connection&)> idles;
    };

    server_connection(asio::io_context& context,
                      const forward_settings& settings, owner_hooks owner);

    /// `body` stays valid as long as the call's owner does.
    void start(const core::endpoint& to,
               std::shared_ptr<const std::string> body, call_hooks hooks);
    /// The next call of a kept connection.
    void start_next(std::shared_ptr<const std::string> body, call_hooks hooks);
    /// Ends the call and the connection without a word.
    void abort();
    /// The caller takes no more bytes for now, or takes them again.
    void pause();
    void resume();
    /// Closes an idle connection.
    void close_idle();
    /// The server closes it when it has been idle for so long.
    void set_idle_limit(std::chrono::milliseconds limit);

private:
    using parser_type = http::response_parser<http::string_body>;

    void connect(const core::endpoint& to);
    void on_connected(const error_code& error);
    void set_options();
    void send();
    void read();
    void on_read(const error_code& error, std::size_t bytes);
    void parse();
    /// True when the parser goes on with more of the same answer.
    bool take_head();
    void take_body();
    void begin_answer();
    void finish();
    void on_end_of_stream();
    void fail(call_fault fault);
    void close();
    void idle();

    asio::io_context& context_;
    const forward_settings& settings_;
    owner_hooks owner_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::optional<parser_type> parser_;
    /// Shared, as a hook may end the call that it belongs to.
    std::shared_ptr<const call_hooks> call_;
    std::shared_ptr<const std::string> body_;
    std::string head_text_;
    std::chrono::milliseconds idle_limit_;
    unsigned dropped_answers_ = 0;
    bool is_connected_ = false;
    bool is_written_ = false;
    bool is_reading_ = false;
    bool is_paused_ = false;
    bool head_taken_ = false;
    bool drops_answer_ = false;
    bool closed_ = false;
};

/// How long a connection is kept idle when its server says that it keeps it
/// for `told`: shorter by the margin, so that no request meets the close.
[[nodiscard]] std::chrono::milliseconds
kept_time(std::chrono::milliseconds told, std::chrono::milliseconds margin);

} // namespace oriolefall::forward

#endif
