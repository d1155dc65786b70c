// Callers that take their answers slowly, and callers that send a lot.
#include "forwarder_fixture.hpp"
#include "test_protocol.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::tests;

namespace {

/// More than the kernel holds for a caller that doesn't read.
constexpr std::size_t large_answer_bytes = std::size_t{16} * 1024 * 1024;

/// Far less than the answers hold.
constexpr int small_buffer_bytes = 4096;

void wait_until_no_callers(const forward::forwarder& forwarder)
{
    for (int i = 0; i < 500 && forwarder.counters().callers > 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

} // namespace

// review/4: the process took an answer for delivered once its last byte had
// been queued, and reset the connection.
Test(slow_caller, a_stop_waits_until_an_answer_has_been_taken)
{
    const std::string body(large_answer_bytes, 'x');
    scripted_server server(always_answers(format_answer("r1", body)));
    forwarder_fixture fixture(test_protocol());
    raw_caller caller(fixture.port());
    caller.send(format_request("r1"));
    fixture.send_call(fixture.next<dispatch::arrival>(), server);
    fixture.next<dispatch::call_answer_started>();
    fixture.forwarder.leave(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cr_assert_eq(fixture.forwarder.counters().callers, 1);
    const std::string answer = caller.read_all();
    cr_assert(answer.ends_with("\r\n\r\n" + body));
    wait_until_no_callers(fixture.forwarder);
    cr_assert_eq(fixture.forwarder.counters().callers, 0);
}

// What has been written whole is left to the kernel to deliver.
Test(slow_caller, the_end_of_the_duty_resets_no_whole_answer)
{
    const std::string body(100000, 'x');
    scripted_server server(always_answers(format_answer("r1", body)));
    auto fixture = std::make_unique<forwarder_fixture>(test_protocol());
    raw_caller caller(fixture->port(), small_buffer_bytes);
    caller.send(format_request("r1"));
    fixture->send_call(fixture->next<dispatch::arrival>(), server);
    fixture->next<dispatch::call_answer_started>();
    fixture->next<dispatch::call_completed>();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.reset();
    cr_assert(caller.read_all().ends_with("\r\n\r\n" + body));
}

// An idle timeout, or the time in which a connection has to be closed, must not
// run while the caller is still reading.
Test(slow_caller, an_answer_may_be_taken_for_longer_than_a_connection_is_idle)
{
    const std::string body(large_answer_bytes, 'x');
    scripted_server server(always_answers(format_answer("r1", body)));
    forwarder_fixture fixture(test_protocol());
    raw_caller caller(fixture.port());
    caller.send(format_request("r1", "{}", "Connection: close\r\n"));
    fixture.send_call(fixture.next<dispatch::arrival>(), server);
    fixture.next<dispatch::call_answer_started>();
    // The last bytes are queued here while the kernel's buffers are full.
    while (fixture.forwarder.counters().open_requests > 0)
        caller.read_some();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    cr_assert(caller.read_all().ends_with("\r\n\r\n" + body));
}

// Requests whose time is over get an answer, and one that is still arriving is
// not passed on.
Test(slow_caller, the_end_of_the_grace_time_answers_what_is_open)
{
    scripted_server silent([](scripted_connection& connection) {
        connection.read_request();
        connection.wait_for_close();
    });
    forwarder_fixture fixture(test_protocol());
    raw_caller called(fixture.port());
    called.send(format_request("r1"));
    fixture.send_call(fixture.next<dispatch::arrival>(), silent);
    raw_caller waiting(fixture.port());
    waiting.send(format_request("r2"));
    fixture.next<dispatch::arrival>();
    raw_caller arriving(fixture.port());
    arriving.send(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    fixture.forwarder.leave(true);
    fixture.forwarder.give_up_requests();
    cr_assert(called.read_all().starts_with("HTTP/1.1 504 "));
    const std::string not_run = waiting.read_all();
    cr_assert(not_run.starts_with("HTTP/1.1 503 "));
    cr_assert(not_run.find("Retry-After: ") != std::string::npos);
    arriving.send("defghi");
    cr_assert(arriving.read_all().starts_with("HTTP/1.1 503 "));
    fixture.next<dispatch::caller_left>();
    fixture.next<dispatch::caller_left>();
}

// The limit on bodies was looked at only once a body was whole: 100 callers
// with 4 MiB each took 402 MB.
Test(slow_caller, bodies_that_are_arriving_share_the_memory_for_bodies)
{
    forward::forward_settings settings;
    settings.max_request_bytes = 100000;
    forwarder_fixture fixture(test_protocol(), settings);
    const std::string head =
        "POST /a HTTP/1.1\r\nHost: h\r\nX-Request: r1\r\nContent-Length: ";
    raw_caller first(fixture.port());
    first.send(head + "80000\r\n\r\n" + std::string(70000, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    raw_caller second(fixture.port());
    second.send(head + "80000\r\n\r\n" + std::string(70000, 'x'));
    const std::string refused = second.read_until("not_run");
    cr_assert(refused.starts_with("HTTP/1.1 503 "));
    cr_assert(refused.find("Retry-After: ") != std::string::npos);
    first.send(std::string(10000, 'x'));
    cr_assert_eq(fixture.next<dispatch::arrival>().body_bytes, 80000);
    // What was refused, or has ended, leaves its share to others.
    first.close();
    fixture.next<dispatch::caller_left>();
    raw_caller third(fixture.port());
    third.send(head + "90000\r\n\r\n" + std::string(90000, 'x'));
    cr_assert_eq(fixture.next<dispatch::arrival>().body_bytes, 90000);
}
