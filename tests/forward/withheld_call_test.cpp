#include "forwarder_fixture.hpp"
#include "test_protocol.hpp"

#include <string>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::forwarder_fixture;
using tests::raw_caller;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

/// A server that answers each request "r1" or "r2" with this header field.
scripted_server::script answers_with(const std::string& field)
{
    return [field](scripted_connection& connection) {
        std::string request = connection.read_request();
        while (!request.empty()) {
            const bool is_first = request.find("r1") != std::string::npos;
            connection.write(
                tests::format_answer(is_first ? "r1" : "r2", "ok", field));
            request = connection.read_request();
        }
    };
}

/// A call that was chosen before the server's answer to another call had
/// arrived, and is executed after it.
struct late_call
{
    explicit late_call(const std::string& field)
        : server(answers_with(field)), fixture(tests::test_protocol()),
          first_caller(fixture.port()), second_caller(fixture.port())
    {
        first_caller.send(tests::format_request("r1"));
        fixture.send_call(fixture.next<dispatch::arrival>(), server);
        fixture.next<dispatch::call_answer_started>();
        fixture.next<dispatch::call_completed>();
        second_caller.send(tests::format_request("r2"));
        second_request = fixture.next<dispatch::arrival>();
    }

    scripted_server server;
    forwarder_fixture fixture;
    raw_caller first_caller;
    raw_caller second_caller;
    dispatch::arrival second_request;
};

} // namespace

// A call waited for the forwarding thread while its server said that it leaves,
// and was sent all the same.
Test(withheld_call, is_not_sent_to_a_server_that_has_said_that_it_leaves)
{
    late_call late("X-Leaving: 1\r\n");
    late.fixture.send_call(late.second_request, late.server, 2);
    const auto not_run = late.fixture.next<dispatch::call_not_run>();
    cr_assert(not_run.cause == dispatch::not_run_cause::withheld);
}

Test(withheld_call, is_not_sent_while_its_server_wants_quiet)
{
    late_call late("X-Quiet: 60\r\n");
    late.fixture.send_call(late.second_request, late.server, 2);
    const auto not_run = late.fixture.next<dispatch::call_not_run>();
    cr_assert(not_run.cause == dispatch::not_run_cause::withheld);
}

Test(withheld_call, is_sent_to_the_next_incarnation)
{
    late_call late("X-Leaving: 1\r\n");
    late.fixture.send_call(late.second_request, late.server, 2, 1);
    late.fixture.next<dispatch::call_answer_started>();
    late.second_caller.read_until("ok");
}
