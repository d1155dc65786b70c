#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/peer/link.hpp"
#include "oriolefall/peer/session.hpp"
#include "oriolefall/peer/socket.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <functional>
#include <numeric>
#include <poll.h>
#include <span>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::peer;

namespace {

constexpr std::size_t max_record = std::size_t{64} * 1024;
/// What an end may take before it gives up: a message, and one read.
constexpr std::size_t max_taken_bytes = 2 * max_record;
constexpr std::size_t max_frame_payload = std::size_t{16} * 1024;
constexpr int poll_milliseconds = 60000;
constexpr auto test_timeout = std::chrono::seconds(60);

/// Types and flags of HTTP/2 frames (RFC 9113, section 6).
namespace frame_type {
constexpr char data = 0x0;
constexpr char headers = 0x1;
constexpr char settings = 0x4;
constexpr char ping = 0x6;
constexpr char continuation = 0x9;
constexpr char unknown = 0x7f;
} // namespace frame_type
constexpr char end_headers = 0x4;
constexpr char settings_ack = 0x1;

/// The head of a frame that announces `size` bytes.
std::string frame_head(std::size_t size, char type, char flags, char stream)
{
    return {static_cast<char>(size >> 16U),
            static_cast<char>(size >> 8U),
            static_cast<char>(size),
            type,
            flags,
            0,
            0,
            0,
            stream};
}

std::string frame(char type, char flags, char stream, std::string_view payload)
{
    return frame_head(payload.size(), type, flags, stream).append(payload);
}

/// `count` header fields "a: b" that enter no table.
std::string plain_fields(std::size_t count)
{
    std::string fields;
    for (std::size_t i = 0; i < count; ++i)
        fields.append({0, 1, 'a', 1, 'b'});
    return fields;
}

/// Bytes that a peer sends once, and then those that it repeats without end.
struct endless_stream
{
    std::string name;
    std::string first;
    std::string repeated;
};

/// How a stream that violates the protocol may end, depending on where it is
/// noticed: in the frames, at a limit, or by the end of its HTTP/2 stream.
constexpr std::array violations{refusal::malformed, refusal::oversized,
                                refusal::connection_lost};

const std::string junk(max_frame_payload, 'x');

/// Streams that violate the protocol wherever they start.
std::vector<endless_stream> faulty_streams()
{
    const std::string fields = plain_fields(1000);
    return {{"a frame without end",
             frame_head(0xffffff, frame_type::data, 0, 1), junk},
            {"a frame of an unknown type without end",
             frame_head(0xffffff, frame_type::unknown, 0, 1), junk},
            {"a head without end", frame(frame_type::headers, 0, 1, fields),
             frame(frame_type::continuation, 0, 1, fields)},
            {"a head in empty parts without end",
             frame(frame_type::headers, 0, 1, plain_fields(1)),
             frame(frame_type::continuation, 0, 1, "")},
            {"a header field without end",
             frame(frame_type::headers, 0, 1,
                   std::string("\x00\x01"
                               "a\x7f\xff\xff\xff\x3f",
                               8)),
             frame(frame_type::continuation, 0, 1, junk)},
            {"heads without end", "",
             frame(frame_type::headers, end_headers, 1, fields)},
            {"answers to no settings without end", "",
             frame(frame_type::settings, settings_ack, 0, "")}};
}

/// A message without end, in frames of the stream that carries messages.
endless_stream endless_message()
{
    return {"a message without end",
            frame(frame_type::data, 0, 1, "\x7f\xff\xff\xff"),
            frame(frame_type::data, 0, 1, junk)};
}

std::vector<endless_stream> faulty_streams_with_message()
{
    std::vector<endless_stream> streams = faulty_streams();
    streams.push_back(endless_message());
    return streams;
}

session_settings session_settings_of(const std::string& name)
{
    return {{name, 7, {1, 1}, make_nonce()}, "shared", max_record, max_record};
}

std::string output_of(session& from)
{
    std::string bytes;
    from.take_output(bytes, max_record);
    return bytes;
}

/// Bytes that an end begins a connection with, without a handshake.
std::string opening_bytes(connection_role role)
{
    const std::string settings = frame(frame_type::settings, 0, 0, "");
    return role == connection_role::dialer
               ? "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings
               : settings;
}

/// Two sessions that have exchanged their handshakes.
struct open_sessions
{
    session dialer{connection_role::dialer, session_settings_of("one")};
    session acceptor{connection_role::acceptor, session_settings_of("two")};

    open_sessions()
    {
        while (!acceptor.is_open()) {
            acceptor.feed(output_of(dialer));
            dialer.feed(output_of(acceptor));
        }
    }
};

/// Feeds the stream until the session closes. Its output is taken, as by a peer
/// that reads, unless `reads` is false.
void expect_end(session& to, const endless_stream& from, bool reads = true)
{
    std::size_t taken = 0;
    std::string_view next = from.first;
    while (to.feed(next)) {
        taken += next.size();
        cr_assert(taken <= max_taken_bytes, "%s", from.name.c_str());
        cr_assert(to.take_records().empty(), "%s", from.name.c_str());
        if (reads)
            output_of(to);
        next = from.repeated;
    }
    cr_assert(std::ranges::count(violations, to.close_reason().value()) == 1,
              "%s", from.name.c_str());
}

/// A link that knows the key, with the ring that its events are queued in.
struct test_link
{
    explicit test_link(const std::string& name)
        : events(4096), link(settings_of(name), [this](link_event event) {
              return events.try_push(std::move(event));
          })
    {
        cr_assert(link.start());
    }

    static link_settings settings_of(const std::string& name)
    {
        link_settings settings;
        settings.self = core::instance_id(name);
        settings.incarnation = 1;
        settings.key = "shared";
        settings.max_record_bytes = max_record;
        settings.handshake_timeout = absl::Milliseconds(500);
        return settings;
    }

    /// Waits for the next message and drops all other events.
    message next_message()
    {
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (true) {
            const auto got = events.pop_until(deadline);
            cr_assert(std::holds_alternative<link_event>(got), "no message");
            const auto& event = std::get<link_event>(got);
            if (const auto* found = std::get_if<peer_message>(&event))
                return found->message;
        }
    }

    void await_connection()
    {
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (true) {
            const auto got = events.pop_until(deadline);
            cr_assert(std::holds_alternative<link_event>(got), "not opened");
            if (std::holds_alternative<peer_opened>(std::get<link_event>(got)))
                return;
        }
    }

    core::bounded_ring<link_event> events;
    peer::link link;
};

/// A peer with a socket, whose bytes the test chooses.
class raw_peer
{
public:
    explicit raw_peer(const test_link& to)
        : fd_(begin_connect({"127.0.0.1", to.link.port()}).value())
    {
        await(POLLOUT);
    }

    /// Makes the handshake of a peer that knows the key.
    void shake_hands()
    {
        session dialer(connection_role::dialer, session_settings_of("zero"));
        while (!dialer.is_open()) {
            send_some(output_of(dialer));
            await(POLLIN);
            std::string bytes(max_frame_payload, '\0');
            const ssize_t size = recv(fd_.get(), bytes.data(), bytes.size(), 0);
            cr_assert(size > 0);
            dialer.feed(std::string_view(bytes).substr(
                0, static_cast<std::size_t>(size)));
        }
        send_some(output_of(dialer));
    }

    /// Sends all of `bytes`; false once the link has ended the connection.
    bool send_some(std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t size =
                ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (size < 0 && errno != EAGAIN)
                return false;
            if (size < 0)
                await(POLLOUT);
            else
                bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return true;
    }

    /// Sends until the link ends the connection.
    void send_until_ended(const endless_stream& stream)
    {
        bool is_connected = send_some(stream.first);
        while (is_connected)
            is_connected = send_some(stream.repeated);
    }

private:
    void await(short events)
    {
        pollfd wait{fd_.get(), events, 0};
        cr_assert_eq(poll(&wait, 1, poll_milliseconds), 1);
    }

    unique_fd fd_;
};

message make_query(std::uint64_t number)
{
    return key_query{number, core::workspace_id("w"),
                     core::idempotency_key("k")};
}

/// Runs a peer that sends `stream` to a link beside another one. The link ends
/// it, and the other one's messages arrive before, during and after.
void expect_others_unharmed(const endless_stream& stream,
                            const std::function<void(raw_peer&)>& begin,
                            std::span<const refusal> ends = violations)
{
    test_link one("one");
    test_link two("two");
    cr_assert(two.link.set_peers(
        {{core::instance_id("one"), {"127.0.0.1", one.link.port()}}}));
    two.await_connection();
    const auto exchange = [&](std::uint64_t number) {
        cr_assert(two.link.send(core::instance_id("one"), make_query(number)));
        cr_assert(one.next_message() == make_query(number));
    };
    exchange(1);
    raw_peer endless(one);
    begin(endless);
    endless.send_some(stream.first);
    endless.send_some(stream.repeated);
    exchange(2);
    endless.send_until_ended({stream.name, "", stream.repeated});
    exchange(3);
    const link_counts counts = one.link.counts();
    const auto ended =
        std::accumulate(ends.begin(), ends.end(), std::uint64_t{0},
                        [&counts](std::uint64_t sum, refusal end) {
                            return sum + counts.count_of(end);
                        });
    cr_assert_eq(ended, 1, "%s", stream.name.c_str());
    cr_assert_eq(two.link.counts().connections_opened, 1);
}

} // namespace

// Nothing tested that a stream without end is ended before its end.
Test(endless_peer, an_acceptor_ends_a_stream_before_the_handshake)
{
    for (const endless_stream& stream : faulty_streams()) {
        session acceptor(connection_role::acceptor, session_settings_of("two"));
        cr_assert(acceptor.feed(opening_bytes(connection_role::dialer)));
        expect_end(acceptor, stream);
    }
    session acceptor(connection_role::acceptor, session_settings_of("two"));
    expect_end(acceptor, {"no HTTP/2", "", junk});
}

// The answer to a handshake comes from whoever listens at the address.
Test(endless_peer, a_dialer_ends_a_stream_before_the_handshake)
{
    for (const endless_stream& stream : faulty_streams()) {
        session dialer(connection_role::dialer, session_settings_of("one"));
        output_of(dialer);
        cr_assert(dialer.feed(opening_bytes(connection_role::acceptor)));
        expect_end(dialer, stream);
    }
}

// A message before the proof is bounded like one after it.
Test(endless_peer, an_acceptor_ends_a_message_before_the_proof)
{
    session dialer(connection_role::dialer, session_settings_of("one"));
    session acceptor(connection_role::acceptor, session_settings_of("two"));
    cr_assert(acceptor.feed(output_of(dialer)));
    expect_end(acceptor, endless_message());
}

// A peer that knows the key may be faulty all the same.
Test(endless_peer, both_ends_end_a_stream_after_the_handshake)
{
    for (const endless_stream& stream : faulty_streams_with_message()) {
        open_sessions sessions;
        expect_end(sessions.acceptor, stream);
        open_sessions others;
        expect_end(others.dialer, stream);
    }
}

// Each ping is owed an answer, which waits for a peer that does not read.
Test(endless_peer, pings_whose_answers_are_not_read_end_the_session)
{
    open_sessions sessions;
    const std::string ping = frame(frame_type::ping, 0, 0, "12345678");
    expect_end(sessions.acceptor, {"pings", "", ping}, false);
}

// A stream without end at one link must not hold up the others.
Test(endless_peer, other_links_go_on, .timeout = 120)
{
    for (const endless_stream& stream : faulty_streams())
        expect_others_unharmed(stream, [](raw_peer& peer) {
            peer.send_some(opening_bytes(connection_role::dialer));
        });
    for (const endless_stream& stream : faulty_streams_with_message())
        expect_others_unharmed(stream,
                               [](raw_peer& peer) { peer.shake_hands(); });
}

// Frames that mean nothing break no rule: the handshake's time ends them.
Test(endless_peer, frames_without_a_meaning_end_with_the_handshakes_time,
     .timeout = 120)
{
    constexpr std::array ends{refusal::handshake_timeout};
    expect_others_unharmed(
        {"frames of an unknown type without end", "",
         frame(frame_type::unknown, 0, 1, junk)},
        [](raw_peer& peer) {
            peer.send_some(opening_bytes(connection_role::dialer));
        },
        ends);
}
