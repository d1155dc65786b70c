// What anybody sends to the pages ends one connection, never the process.
#include "oriolefall/router/page_duty.hpp"

#include "oriolefall/core/concat.hpp"

#include "tests/front/raw_caller.hpp"

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::raw_caller;

namespace {

/// A port that was free a moment ago.
std::uint16_t free_port()
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

/// Pages that echo the target; making that of "/throws" throws.
class pages
{
public:
    pages()
        : port_(free_port()),
          duty_(
              [](const std::string& target) {
                  if (target == "/throws")
                      throw std::runtime_error("page");
                  return router::page{200, "text/plain", target};
              },
              [this](std::string_view, std::string_view) { ++errors_; })
    {
        cr_assert_not(duty_.listen({"127.0.0.1", port_}));
        duty_.start();
    }

    [[nodiscard]] int port() const
    {
        return port_;
    }

    [[nodiscard]] int error_count() const
    {
        return errors_;
    }

    [[nodiscard]] bool answers() const
    {
        raw_caller caller(port_);
        caller.send("GET /sound HTTP/1.1\r\nHost: h\r\nConnection: "
                    "close\r\n\r\n");
        return caller.read_all().ends_with("\r\n\r\n/sound");
    }

private:
    std::uint16_t port_;
    std::atomic<int> errors_ = 0;
    router::page_duty duty_;
};

const std::string chunked_head =
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

Test(page_duty, a_last_chunk_in_pieces_is_a_request)
{
    const pages pages;
    raw_caller caller(pages.port());
    for (const std::string& piece : {chunked_head, std::string("0\r\n"),
                                     std::string("\r"), std::string("\n")}) {
        caller.send(piece);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    cr_assert(caller.read_until("/a").starts_with("HTTP/1.1 200 OK"));
    cr_assert(pages.answers());
}

Test(page_duty, bytes_without_end_end_their_connection)
{
    const pages pages;
    const std::string filler(300000, 'x');
    for (const std::string& bytes :
         {"GET /" + filler, "GET / HTTP/1.1\r\nX: " + filler,
          "POST / HTTP/1.1\r\nContent-Length: 1000000000000000\r\n\r\n" +
              filler,
          core::concat(chunked_head, "5;a=", filler),
          core::concat(chunked_head, "0\r\nX: ", filler),
          core::concat(chunked_head, "0\r\nX: ", filler.substr(0, 70000),
                       "\r\n\r\n"),
          "no request at all\r\n\r\n" + filler}) {
        raw_caller caller(pages.port());
        caller.send(bytes);
        cr_assert_eq(caller.read_all(), "");
        cr_assert(pages.answers());
    }
}

Test(page_duty, a_page_that_throws_ends_its_connection)
{
    const pages pages;
    raw_caller caller(pages.port());
    caller.send("GET /throws HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert_eq(caller.read_all(), "");
    cr_assert_eq(pages.error_count(), 1);
    cr_assert(pages.answers());
}
