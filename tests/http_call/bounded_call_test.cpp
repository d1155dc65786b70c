#include "oriolefall/http_call/bounded_call.hpp"

#include "tests/forward/scripted_server.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

constexpr std::size_t limit = 100000;

/// The body received from a server that sends `head` and then `bytes`.
httplib::Result receive(const std::string& head, const std::string& bytes)
{
    scripted_server server([head, bytes](scripted_connection& connection) {
        if (connection.read_request().empty())
            return;
        connection.write(head);
        connection.write(bytes);
        connection.wait_for_close();
    });
    httplib::Client client(server.endpoint().address, server.endpoint().port);
    return http_call::send_bounded(client, http_call::make_request("GET", "/a"),
                                   limit);
}

} // namespace

Test(bounded_call, a_body_up_to_the_limit_is_received)
{
    const std::string body(limit, 'x');
    const auto result =
        receive("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", body);
    cr_assert(result);
    cr_assert_eq(result->status, 200);
    cr_assert_eq(result->body, body);
}

// Such bodies were received for as long as bytes came.
Test(bounded_call, a_body_beyond_the_limit_is_given_up)
{
    const std::string body(limit + 1, 'x');
    for (const char* framing :
         {"Content-Length: 1000000000000000\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n186a1\r\n", "\r\n"}) {
        const auto result =
            receive("HTTP/1.1 200 OK\r\n" + std::string(framing), body);
        cr_assert_not(result, "%s", framing);
    }
}
