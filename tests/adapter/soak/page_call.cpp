#include "tests/adapter/soak/page_call.hpp"

#include <utility>

namespace oriolefall::soak {

namespace {

constexpr milliseconds answer_limit{1000};
constexpr unsigned http_1_1 = 11;

} // namespace

task<std::optional<page_answer>> ask_page(tcp::endpoint at, std::string target)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(answer_limit);
    error_code error;
    co_await stream.async_connect(at, into(error));
    http::request<http::empty_body> question(http::verb::get, target, http_1_1);
    question.set(http::field::host, "instance");
    if (!error)
        co_await http::async_write(stream, question, into(error));
    boost::beast::flat_buffer buffer;
    page_answer told;
    if (!error)
        co_await http::async_read(stream, buffer, told, into(error));
    if (error)
        co_return std::nullopt;
    co_return std::move(told);
}

} // namespace oriolefall::soak
