#include "oriolefall/follow/store_connection.hpp"

#include "oriolefall/core/concat.hpp"
#include "tests/forward/scripted_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;
using tests::always_answers;
using tests::scripted_server;

namespace {

/// An address at which connection attempts hang: the backlog of its socket is
/// full and nothing accepts.
class unresponsive_address
{
public:
    unresponsive_address() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* raw_address = reinterpret_cast<sockaddr*>(&address);
        if (::bind(listener_, raw_address, size) != 0 ||
            ::listen(listener_, 0) != 0)
            throw std::runtime_error("cannot listen");
        ::getsockname(listener_, raw_address, &size);
        port_ = ntohs(address.sin_port);
        for (int& connection : backlog_connections_) {
            connection = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Not awaited: the attempt only has to fill the backlog.
            static_cast<void>(::connect(connection, raw_address, size));
        }
    }
    unresponsive_address(const unresponsive_address&) = delete;
    unresponsive_address& operator=(const unresponsive_address&) = delete;
    ~unresponsive_address()
    {
        for (const int connection : backlog_connections_)
            ::close(connection);
        ::close(listener_);
    }

    [[nodiscard]] core::endpoint endpoint() const
    {
        return {"127.0.0.1", port_};
    }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::array<int, 4> backlog_connections_{};
};

} // namespace

// A watch may take many seconds. Connecting has a shorter timeout of its own,
// so that an unreachable store is detected earlier.
Test(store_connection, connecting_times_out_long_before_the_call_does)
{
    const unresponsive_address store;
    asio::io_context context;
    const auto connection =
        std::make_shared<store_connection>(context, store.endpoint());
    std::optional<bool> failed;
    store_request request;
    request.target = "/";
    request.timeout = std::chrono::minutes(5);
    connection->call(request, [&](const store_result& result) {
        failed = std::holds_alternative<store_failure>(result);
        context.stop();
    });
    asio::steady_timer end_timer(context, std::chrono::seconds(30));
    end_timer.async_wait([&](const error_code&) { context.stop(); });
    context.run();
    cr_assert(failed.value_or(false));
}

// A long list arrives slowly while hundreds of instances read it at once. With
// a timeout for the whole answer all of them would abort and retry forever.
Test(store_connection, receives_a_slow_answer_while_it_makes_progress)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket store(context);
    const std::array<std::string, 4> pieces{
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "abc", "def", "ghi"};
    asio::steady_timer timer(context);
    std::size_t next = 0;
    std::function<void()> send_next_piece = [&] {
        timer.expires_after(std::chrono::milliseconds(400));
        timer.async_wait([&](const error_code& error) {
            if (error)
                return;
            asio::write(store, asio::buffer(pieces.at(next)));
            if (++next < pieces.size())
                send_next_piece();
        });
    };
    acceptor.async_accept(store, [&](const error_code& error) {
        if (!error)
            send_next_piece();
    });
    const auto connection = std::make_shared<store_connection>(
        context, core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
    std::string body;
    store_request request;
    request.target = "/";
    request.timeout = std::chrono::milliseconds(1200);
    connection->call(request, [&](const store_result& result) {
        if (const auto* answer = std::get_if<store_answer>(&result))
            body = answer->body;
        context.stop();
    });
    context.run();
    cr_assert_eq(body, "abcdefghi");
}

// The limit on answers did not hold where bytes of the body came with the head:
// the announced length was reserved, and the process ended.
Test(store_connection, an_answer_without_end_is_a_failed_call)
{
    for (const std::string& answer :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: "
                      "1000000000000000\r\n\r\n{\"events\":["),
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2000000\r\n" +
              std::string(std::size_t{17} << 20, 'x'),
          "HTTP/1.1 200 OK\r\n\r\n" + std::string(std::size_t{17} << 20, 'x'),
          "HTTP/1.1 200 OK\r\nX-Long: " + std::string(70000, 'x'),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n5;a=") +
              std::string(200000, 'a')}) {
        asio::io_context context;
        tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
        tcp::socket store(context);
        acceptor.async_accept(store, [&](const error_code& error) {
            if (!error)
                asio::async_write(store, asio::buffer(answer),
                                  [](const error_code&, std::size_t) {});
        });
        const auto connection = std::make_shared<store_connection>(
            context,
            core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
        std::optional<bool> failed;
        store_request request;
        request.target = "/";
        connection->call(request, [&](const store_result& result) {
            failed = std::holds_alternative<store_failure>(result);
            context.stop();
        });
        context.run();
        cr_assert(failed.value_or(false), "%.60s", answer.c_str());
    }
}

namespace {

const std::string answer_head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";

/// The bodies of two calls, one after the other, to a store that sends `bytes`
/// on each new connection, and `between` before the second call.
std::string call_twice(const std::string& bytes, const std::string& between)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::vector<tcp::socket> accepted;
    std::function<void()> accept = [&] {
        acceptor.async_accept([&](const error_code& error, tcp::socket socket) {
            if (error)
                return;
            accepted.push_back(std::move(socket));
            asio::write(accepted.back(), asio::buffer(bytes));
            accept();
        });
    };
    accept();
    const auto connection = std::make_shared<store_connection>(
        context, core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
    store_request request;
    request.target = "/";
    std::string bodies;
    connection->call(request, [&](const store_result& first) {
        bodies += std::get<store_answer>(first).body;
        asio::write(accepted.back(), asio::buffer(between));
        connection->call(request, [&](const store_result& second) {
            bodies += std::get<store_answer>(second).body;
            context.stop();
        });
    });
    context.run();
    return bodies;
}

} // namespace

// Bytes after an answer were taken for the answer to the next call.
Test(store_connection, bytes_after_an_answer_answer_no_call)
{
    cr_assert_eq(
        call_twice(core::concat(answer_head, "a", answer_head, "b"), ""), "aa");
}

// Bytes that came between two calls were taken for the answer to the second.
Test(store_connection, bytes_between_two_calls_answer_no_call)
{
    cr_assert_eq(call_twice(answer_head + "a", answer_head + "b"), "aa");
}

// A server closed an idle connection. The next call failed without an answer,
// and its caller had to take it for one that may have been executed.
Test(store_connection, an_idle_connection_that_was_closed_is_not_used)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const auto connection = std::make_shared<store_connection>(
        context, core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
    std::string bodies;
    const std::function<void()> accept_one = [&] {
        acceptor.async_accept([&](const error_code& error, tcp::socket socket) {
            if (error)
                return;
            asio::write(socket, asio::buffer(answer_head + "a"));
            // The caller reads the answer, then the socket is closed.
            const auto open = std::make_shared<tcp::socket>(std::move(socket));
            asio::post(context, [&, open] { accept_one(); });
            asio::post(context, [open] {
                error_code ignored;
                open->shutdown(tcp::socket::shutdown_send, ignored);
            });
        });
    };
    accept_one();
    store_request request;
    request.target = "/";
    asio::steady_timer timer(context);
    connection->call(request, [&](const store_result& first) {
        bodies += std::get<store_answer>(first).body;
        timer.expires_after(std::chrono::milliseconds(50));
        timer.async_wait([&](const error_code&) {
            connection->call(request, [&](const store_result& second) {
                if (const auto* answer = std::get_if<store_answer>(&second))
                    bodies += answer->body;
                context.stop();
            });
        });
    });
    context.run();
    cr_assert_eq(bodies, "aa");
}

// The lease of a caller may end while its connection is being established.
Test(store_connection, a_call_that_is_no_longer_allowed_is_not_written)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::optional<tcp::socket> accepted;
    acceptor.async_accept([&](const error_code& error, tcp::socket socket) {
        if (!error)
            accepted.emplace(std::move(socket));
    });
    const auto connection = std::make_shared<store_connection>(
        context, core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()},
        store_connection_settings{.resets_on_close = true});
    std::optional<bool> failed;
    store_request request;
    request.target = "/";
    connection->call(
        request,
        [&](const store_result& result) {
            failed = std::holds_alternative<store_failure>(result);
        },
        [] { return false; });
    context.run();
    cr_assert(failed.value_or(false));
    cr_assert(accepted.has_value());
    error_code error;
    char byte = 0;
    cr_assert_eq(accepted->read_some(asio::buffer(&byte, 1), error), 0);
    cr_assert(error == asio::error::connection_reset);
}

// The pages of a list were asked for as fast as the store answered.
Test(store_connection, calls_on_the_connection_of_a_list_are_spaced)
{
    scripted_server server(
        always_answers("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"));
    asio::io_context context;
    const auto connection = std::make_shared<store_connection>(
        context, server.endpoint(), list_connection_settings);
    constexpr int most_calls = 10;
    int calls = 0;
    std::function<void()> call = [&] {
        connection->call({}, [&](const store_result& result) {
            cr_assert(is_success(result));
            if (++calls < most_calls)
                call();
        });
    };
    const auto begin = std::chrono::steady_clock::now();
    call();
    context.run();
    cr_assert_eq(calls, most_calls);
    cr_assert(std::chrono::steady_clock::now() - begin >=
              (most_calls - 1) * list_connection_settings.min_call_interval);
}
