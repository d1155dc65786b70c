#include "forwarder_fixture.hpp"
#include "test_protocol.hpp"

#include <chrono>
#include <string>
#include <thread>

#include <criterion/criterion.h>

using namespace oriolefall;
using tests::forwarder_fixture;
using tests::raw_caller;
using tests::scripted_connection;
using tests::scripted_server;

namespace {

constexpr auto write_interval = std::chrono::milliseconds(20);
constexpr auto gap_timeout = absl::Milliseconds(400);
constexpr int writes = 100;

/// A stream that begins with one event and goes on with this text, piece by
/// piece.
scripted_server::script trickles(std::string (*piece)(int))
{
    return [piece](scripted_connection& connection) {
        connection.read_request();
        connection.write(tests::format_stream_head("r1") +
                         tests::format_event_chunk(1));
        for (int i = 2; i < writes; ++i) {
            std::this_thread::sleep_for(write_interval);
            connection.write(piece(i));
        }
        connection.write("0\r\n\r\n");
        connection.wait_for_close();
    };
}

/// The event after the first event of such a stream.
dispatch::event event_after_start(const scripted_server& server)
{
    forwarder_fixture fixture(tests::test_protocol());
    raw_caller caller(fixture.port());
    caller.send(tests::format_request("r1"));
    fixture.send_stream_call(fixture.next<dispatch::arrival>(), server, 1,
                             gap_timeout);
    fixture.next<dispatch::call_answer_started>();
    return fixture.next_event();
}

} // namespace

// Bytes that complete no event do not keep a stalled stream alive.
Test(trickled_stream, a_byte_now_and_then_counts_as_silence)
{
    const scripted_server server(
        trickles([](int) { return std::string("1\r\n:\r\n"); }));
    cr_assert(std::holds_alternative<dispatch::call_silent>(
        event_after_start(server)));
}

Test(trickled_stream, a_slow_but_steady_stream_is_not_interrupted)
{
    const scripted_server server(
        trickles([](int i) { return tests::format_event_chunk(i); }));
    const auto outcome = event_after_start(server);
    const auto* completed = std::get_if<dispatch::call_completed>(&outcome);
    cr_assert(completed != nullptr);
    cr_assert_eq(completed->events, writes - 1);
}
