#ifndef ORIOLEFALL_FOLLOW_STORE_LINE_HPP
#define ORIOLEFALL_FOLLOW_STORE_LINE_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/net/beast.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace oriolefall::follow {

/// One call to the store.
struct store_request
{
    http::verb method = http::verb::get;
    std::string target;
    /// JSON text; empty for none.
    std::string body;
    /// Time until its answer must begin, and at most between two pieces of it.
    std::chrono::milliseconds limit{1200};
};

struct store_answer
{
    unsigned status = 0;
    std::string body;
};

/// No answer came; the call may have been carried out.
struct store_silent
{
    std::string cause;
};

using store_result = std::variant<store_answer, store_silent>;

/// One connection to the store, kept between calls; one call at a time. A
/// connection on which a call failed is not used again. Store thread.
class store_line : public std::enable_shared_from_this<store_line>
{
public:
    using result_hook = std::function<void(store_result)>;

    store_line(asio::io_context& context, core::endpoint store);
    void call(const store_request& request, result_hook done);

private:
    void send();
    void receive();
    void receive_some();
    /// Between two pieces of an answer.
    [[nodiscard]] std::chrono::milliseconds piece_limit() const;
    void finish(const error_code& error);

    asio::io_context& context_;
    core::endpoint store_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> answer_;
    result_hook done_;
    std::chrono::milliseconds limit_{0};
};

} // namespace oriolefall::follow

#endif
