#include "oriolefall/core/clock.hpp"
#include "oriolefall/peer/codec.hpp"
#include "oriolefall/peer/link.hpp"

#include <chrono>
#include <functional>
#include <poll.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

using namespace oriolefall;
using namespace oriolefall::peer;

namespace {

constexpr auto test_timeout = std::chrono::seconds(60);

/// A link whose events are queued in a ring for the test.
struct test_link
{
    explicit test_link(const std::string& name,
                       const std::function<void(link_settings&)>& change = {})
        : events(4096),
          link(settings_of(name, change), [this](link_event event) {
              return events.try_push(std::move(event));
          })
    {
        cr_assert(link.start());
    }

    static link_settings
    settings_of(const std::string& name,
                const std::function<void(link_settings&)>& change)
    {
        link_settings settings;
        settings.self = core::instance_id(name);
        settings.incarnation = 1;
        settings.key = "shared";
        settings.dial_delay = absl::Milliseconds(100);
        if (change)
            change(settings);
        return settings;
    }

    /// Waits for the next event of this type and drops all others.
    template <class Event>
    Event next_event()
    {
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (true) {
            auto got = events.pop_until(deadline);
            cr_assert(std::holds_alternative<link_event>(got),
                      "no event of this type was received");
            const auto& event = std::get<link_event>(got);
            if (const auto* found = std::get_if<Event>(&event))
                return *found;
        }
    }

    /// Waits until a refusal for this reason has been counted.
    void await_refusal(refusal reason)
    {
        core::bounded_ring<int> timer(1);
        const auto deadline = std::chrono::steady_clock::now() + test_timeout;
        while (link.counts().count_of(reason) == 0) {
            const auto now = std::chrono::steady_clock::now();
            cr_assert(now < deadline, "the refusal was not counted");
            (void)timer.pop_until(now + std::chrono::milliseconds(10));
        }
    }

    void connect_to(const std::string& name, std::uint16_t port)
    {
        cr_assert(
            link.set_peers({{core::instance_id(name), {"127.0.0.1", port}}}));
    }

    core::bounded_ring<link_event> events;
    peer::link link;
};

key_query make_query(std::uint64_t number)
{
    return {number, core::workspace_id("w"), core::idempotency_key("k")};
}

/// Opens a TCP connection to a link without a handshake.
unique_fd connect_socket_to(const test_link& other)
{
    auto fd = begin_connect({"127.0.0.1", other.link.port()});
    cr_assert(fd.has_value());
    pollfd wait{fd->get(), POLLOUT, 0};
    cr_assert_eq(poll(&wait, 1, 60000), 1);
    return std::move(*fd);
}

} // namespace

Test(link, two_instances_exchange_messages_both_ways)
{
    test_link one("one");
    test_link two("two");
    one.connect_to("two", two.link.port());
    two.connect_to("one", one.link.port());
    cr_assert_eq(one.next_event<peer_opened>().instance.value(), "two");
    cr_assert_eq(two.next_event<peer_opened>().instance.value(), "one");
    for (std::uint64_t i = 0; i < 100; ++i) {
        cr_assert(one.link.send(core::instance_id("two"), make_query(i)));
        cr_assert(two.link.send(core::instance_id("one"), make_query(i)));
    }
    for (std::uint64_t i = 0; i < 100; ++i) {
        cr_assert(one.next_event<peer_message>().message ==
                  message(make_query(i)));
        cr_assert(two.next_event<peer_message>().message ==
                  message(make_query(i)));
    }
}

Test(link, a_message_of_one_mebibyte_arrives)
{
    test_link one("one");
    test_link two("two");
    one.connect_to("two", two.link.port());
    one.next_event<peer_opened>();
    const settings_answer sent{
        {{"/teams/t/large", 3, std::string(1024 * 1024, 'x')}}};
    cr_assert(one.link.send(core::instance_id("two"), sent));
    cr_assert(two.next_event<peer_message>().message == message(sent));
}

Test(link, a_wrong_key_is_refused_and_counted)
{
    test_link one("one");
    test_link two("two",
                  [](link_settings& settings) { settings.key = "other"; });
    one.connect_to("two", two.link.port());
    one.await_refusal(refusal::unauthenticated);
    cr_assert_eq(one.link.counts().connections_opened, 0);
    cr_assert_eq(two.link.counts().connections_opened, 0);
}

Test(link, a_wrong_version_is_refused_and_counted)
{
    test_link one("one");
    test_link two("two", [](link_settings& settings) {
        settings.versions = {2, 3};
    });
    one.connect_to("two", two.link.port());
    two.await_refusal(refusal::wrong_version);
    cr_assert_eq(one.link.counts().connections_opened, 0);
    cr_assert_eq(two.link.counts().connections_opened, 0);
}

Test(link, an_oversized_message_is_refused_and_counted)
{
    test_link one("one");
    test_link two("two", [](link_settings& settings) {
        settings.max_record_bytes = 100;
    });
    one.connect_to("two", two.link.port());
    one.next_event<peer_opened>();
    const key_answer large_answer{1, key_state::ran, 200,
                                  std::string(200, 'x')};
    cr_assert(one.link.send(core::instance_id("two"), large_answer));
    two.await_refusal(refusal::oversized);
    cr_assert_eq(two.link.counts().messages_received, 0);
}

Test(link, garbage_is_refused_and_counted)
{
    test_link one("one");
    const unique_fd fd = connect_socket_to(one);
    const std::string garbage = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    const ssize_t size = send(fd.get(), garbage.data(), garbage.size(), 0);
    cr_assert_eq(size, static_cast<ssize_t>(garbage.size()));
    one.await_refusal(refusal::malformed);
}

Test(link, a_connection_without_a_handshake_times_out)
{
    test_link one("one", [](link_settings& settings) {
        settings.handshake_timeout = absl::Milliseconds(50);
    });
    const unique_fd fd = connect_socket_to(one);
    one.await_refusal(refusal::handshake_timeout);
}

Test(link, accepted_connections_beyond_the_limit_are_refused)
{
    test_link one("one", [](link_settings& settings) {
        settings.max_accepted_connections = 1;
    });
    const unique_fd first = connect_socket_to(one);
    const unique_fd second = connect_socket_to(one);
    one.await_refusal(refusal::connection_limit);
}

Test(link, an_unexpected_instance_at_the_address_is_refused)
{
    test_link one("one");
    test_link two("two");
    one.connect_to("three", two.link.port());
    one.await_refusal(refusal::unexpected_instance);
}

Test(link, a_restarted_peer_is_reconnected)
{
    test_link one("one");
    std::uint16_t port = 0;
    {
        test_link two("two");
        port = two.link.port();
        one.connect_to("two", port);
        cr_assert_eq(one.next_event<peer_opened>().incarnation, 1);
    }
    cr_assert_eq(one.next_event<peer_closed>().instance.value(), "two");
    test_link restarted("two", [port](link_settings& settings) {
        settings.incarnation = 2;
        settings.listen.port = port;
    });
    cr_assert_eq(one.next_event<peer_opened>().incarnation, 2);
}

/// The test relays the bytes between both links. When it stops relaying, both
/// sockets stay open but nothing is received any more.
Test(link, a_silent_connection_is_replaced)
{
    test_link one("one", [](link_settings& settings) {
        settings.keepalive_time = absl::Milliseconds(50);
        settings.receive_timeout = absl::Milliseconds(400);
    });
    test_link two("two");
    const auto listener = listen_at({"127.0.0.1", 0});
    cr_assert(listener.has_value());
    one.connect_to("two", port_of(*listener));

    const auto next_connection = [&] {
        pollfd wait{listener->get(), POLLIN, 0};
        cr_assert_eq(poll(&wait, 1, 60000), 1);
        auto fd = accept_from(*listener);
        cr_assert(fd.has_value());
        return std::move(*fd);
    };
    const auto relay_until_open = [&](const unique_fd& near,
                                      const unique_fd& far) {
        std::array<char, 65536> buffer{};
        const auto copy = [&buffer](const unique_fd& from,
                                    const unique_fd& to) {
            const ssize_t size =
                recv(from.get(), buffer.data(), buffer.size(), 0);
            if (size > 0)
                send(to.get(), buffer.data(), static_cast<std::size_t>(size),
                     MSG_NOSIGNAL);
        };
        while (one.events.size() == 0) {
            std::array<pollfd, 2> wait{
                {{near.get(), POLLIN, 0}, {far.get(), POLLIN, 0}}};
            poll(wait.data(), wait.size(), 10);
            copy(near, far);
            copy(far, near);
        }
    };
    const unique_fd near = next_connection();
    const unique_fd far = connect_socket_to(two);
    relay_until_open(near, far);
    one.next_event<peer_opened>();
    // Nothing is relayed from here on, and both sockets stay open.
    cr_assert(one.next_event<peer_closed>().reason == refusal::silent);
    const unique_fd near_again = next_connection();
    const unique_fd far_again = connect_socket_to(two);
    relay_until_open(near_again, far_again);
    cr_assert_eq(one.next_event<peer_opened>().instance.value(), "two");
}

Test(link, dropped_messages_are_counted)
{
    test_link one("one");
    link_settings settings = test_link::settings_of("two", {});
    peer::link two(settings, [](const link_event& event) {
        return !std::holds_alternative<peer_message>(event);
    });
    cr_assert(two.start());
    one.connect_to("two", two.port());
    one.next_event<peer_opened>();
    cr_assert(one.link.send(core::instance_id("two"), make_query(1)));
    core::bounded_ring<int> timer(1);
    while (two.counts().count_of(refusal::ring_full) == 0)
        (void)timer.pop_until(std::chrono::steady_clock::now() +
                              std::chrono::milliseconds(10));
    cr_assert(one.link.send(core::instance_id("none"), make_query(2)));
    one.await_refusal(refusal::not_connected);
}

// A stop right after a message was overlooked until the link's thread woke by
// itself, up to a minute later.
Test(link, stops_at_once_after_a_message, .timeout = 60)
{
    core::bounded_ring<int> timer(1);
    for (int i = 0; i < 200; ++i) {
        test_link one("one");
        // Time for the thread to wait for its sockets.
        (void)timer.pop_until(std::chrono::steady_clock::now() +
                              std::chrono::milliseconds(2));
        one.link.send(core::instance_id("two"), make_query(1));
        one.link.stop();
    }
}
