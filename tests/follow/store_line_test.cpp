#include "oriolefall/follow/store_line.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::follow;

namespace {

/// An address where connections hang: its queue is full and nobody accepts.
class silent_address
{
public:
    silent_address() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        if (::bind(listener_, raw, size) != 0 || ::listen(listener_, 0) != 0)
            throw std::runtime_error("cannot listen");
        ::getsockname(listener_, raw, &size);
        port_ = ntohs(address.sin_port);
        for (int& filler : fillers_) {
            filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Not waited for: what counts is that it fills the queue.
            static_cast<void>(::connect(filler, raw, size));
        }
    }
    silent_address(const silent_address&) = delete;
    silent_address& operator=(const silent_address&) = delete;
    ~silent_address()
    {
        for (const int filler : fillers_)
            ::close(filler);
        ::close(listener_);
    }

    [[nodiscard]] core::endpoint endpoint() const
    {
        return {"127.0.0.1", port_};
    }

private:
    int listener_;
    std::uint16_t port_ = 0;
    std::array<int, 4> fillers_{};
};

} // namespace

// A watch may wait for many seconds; a connection that can't be opened must
// not be waited for as long.
Test(store_line, gives_up_connecting_long_before_the_limit_of_the_call)
{
    const silent_address store;
    asio::io_context context;
    const auto line = std::make_shared<store_line>(context, store.endpoint());
    std::optional<bool> failed;
    store_request request;
    request.target = "/";
    request.limit = std::chrono::minutes(5);
    line->call(request, [&](const store_result& result) {
        failed = std::holds_alternative<store_silent>(result);
        context.stop();
    });
    asio::steady_timer end(context, std::chrono::seconds(30));
    end.async_wait([&](const error_code&) { context.stop(); });
    context.run();
    cr_assert(failed.value_or(false));
}

// A long list that hundreds read together comes slowly; cutting it off and
// reading it again would keep all of them from ever having it.
Test(store_line, takes_a_long_answer_as_long_as_it_goes_on)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    tcp::socket store(context);
    const std::array<std::string, 4> pieces{
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "abc", "def", "ghi"};
    asio::steady_timer timer(context);
    std::size_t next = 0;
    std::function<void()> go_on = [&] {
        timer.expires_after(std::chrono::milliseconds(400));
        timer.async_wait([&](const error_code& stopped) {
            if (stopped)
                return;
            asio::write(store, asio::buffer(pieces.at(next)));
            if (++next < pieces.size())
                go_on();
        });
    };
    acceptor.async_accept(store, [&](const error_code& error) {
        if (!error)
            go_on();
    });
    const auto line = std::make_shared<store_line>(
        context, core::endpoint{"127.0.0.1", acceptor.local_endpoint().port()});
    std::string body;
    store_request request;
    request.target = "/";
    request.limit = std::chrono::milliseconds(1200);
    line->call(request, [&](const store_result& result) {
        if (const auto* answer = std::get_if<store_answer>(&result))
            body = answer->body;
        context.stop();
    });
    context.run();
    cr_assert_eq(body, "abcdefghi");
}
