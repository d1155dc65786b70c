#include "oriolefall/peer/session.hpp"

#include <algorithm>
#include <numeric>
#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace oriolefall::peer;

namespace {

constexpr std::size_t max_record = 1024;

session_settings settings_of(const std::string& name,
                             const std::string& key = "key",
                             version_range versions = {1, 1})
{
    return {{name, 7, versions, make_nonce()}, key, max_record, 8 * max_record};
}

/// Transfers all bytes between two sessions in chunks of `chunk_bytes`, until
/// neither has output left.
void exchange(session& one, session& two, std::size_t chunk_bytes = 100000)
{
    const auto transfer = [chunk_bytes](session& from, session& to) {
        std::string bytes;
        from.take_output(bytes, std::size_t{1} << 20);
        for (std::size_t at = 0; at < bytes.size(); at += chunk_bytes)
            to.feed(std::string_view(bytes).substr(at, chunk_bytes));
        return !bytes.empty();
    };
    bool has_progress = true;
    while (has_progress) {
        const bool has_sent_to_two = transfer(one, two);
        const bool has_sent_to_one = transfer(two, one);
        has_progress = has_sent_to_two || has_sent_to_one;
    }
}

} // namespace

Test(session, records_arrive_complete_and_in_order_for_any_chunk_size)
{
    cr_assert(rc::check("chunk sizes", [] {
        session one(connection_role::dialer, settings_of("one"));
        session two(connection_role::acceptor, settings_of("two"));
        const auto chunk_bytes = *rc::gen::inRange<std::size_t>(1, 200);
        exchange(one, two, chunk_bytes);
        RC_ASSERT(one.is_open() && two.is_open());
        RC_ASSERT(one.peer().instance == "two");
        RC_ASSERT(two.peer().instance == "one");
        std::vector<std::string> sent;
        const auto count = *rc::gen::inRange(0, 20);
        for (int i = 0; i < count; ++i) {
            const auto size = *rc::gen::inRange<std::size_t>(0, 300);
            sent.push_back(std::string(size, static_cast<char>('a' + i)));
            RC_ASSERT(one.send(sent.back()) && two.send(sent.back()));
        }
        exchange(one, two, chunk_bytes);
        RC_ASSERT(one.take_records() == sent);
        RC_ASSERT(two.take_records() == sent);
    }));
}

Test(session, different_keys_do_not_open_a_session)
{
    session one(connection_role::dialer, settings_of("one", "right"));
    session two(connection_role::acceptor, settings_of("two", "wrong"));
    exchange(one, two);
    cr_assert_not(one.is_open());
    cr_assert_not(two.is_open());
    cr_assert(one.close_reason() == refusal::unauthenticated);
}

/// The dialer speaks the protocol correctly but has another key: its handshake
/// and its proof, recorded with an acceptor that has the same wrong key, are
/// replayed to an acceptor with the right key.
Test(session, a_dialer_without_the_key_is_refused_by_the_acceptor)
{
    session right_key_dialer(connection_role::dialer,
                             settings_of("one", "right"));
    session wrong_key_dialer(connection_role::dialer,
                             settings_of("one", "wrong"));
    session wrong_key_acceptor(connection_role::acceptor,
                               settings_of("two", "wrong"));
    session acceptor(connection_role::acceptor, settings_of("two", "right"));
    std::string handshake;
    wrong_key_dialer.take_output(handshake, max_record * max_record);
    wrong_key_acceptor.feed(handshake);
    std::string response;
    wrong_key_acceptor.take_output(response, max_record * max_record);
    wrong_key_dialer.feed(response);
    cr_assert(wrong_key_dialer.is_open());
    std::string proof;
    wrong_key_dialer.take_output(proof, max_record * max_record);
    cr_assert(acceptor.feed(handshake));
    acceptor.feed(proof);
    cr_assert_not(acceptor.is_open());
    cr_assert(acceptor.close_reason() == refusal::unauthenticated);
}

Test(session, both_ends_refuse_when_versions_do_not_overlap)
{
    session one(connection_role::dialer, settings_of("one", "key", {3, 4}));
    session two(connection_role::acceptor, settings_of("two", "key", {1, 2}));
    exchange(one, two);
    cr_assert(one.close_reason() == refusal::wrong_version);
    cr_assert(two.close_reason() == refusal::wrong_version);
}

Test(session, the_highest_common_version_is_negotiated)
{
    session one(connection_role::dialer, settings_of("one", "key", {1, 2}));
    session two(connection_role::acceptor, settings_of("two", "key", {2, 5}));
    exchange(one, two);
    cr_assert(one.is_open());
    cr_assert_eq(one.version(), 2);
    cr_assert_eq(two.version(), 2);
}

Test(session, an_oversized_record_closes_the_session)
{
    session_settings larger_limit = settings_of("one");
    larger_limit.max_record_bytes = 4 * max_record;
    session one(connection_role::dialer, larger_limit);
    session two(connection_role::acceptor, settings_of("two"));
    exchange(one, two);
    cr_assert_not(two.send(std::string(max_record + 1, 'x')));
    cr_assert(one.send(std::string(max_record + 1, 'x')));
    exchange(one, two);
    cr_assert(two.close_reason() == refusal::oversized);
}

Test(session, a_full_send_queue_refuses_records)
{
    session one(connection_role::dialer, settings_of("one"));
    session two(connection_role::acceptor, settings_of("two"));
    exchange(one, two);
    for (int i = 0; i < 8; ++i)
        cr_assert(one.send(std::string(max_record - 4, 'x')));
    cr_assert_not(one.send(std::string(max_record - 4, 'x')));
    exchange(one, two);
    cr_assert(one.send("there is room again"));
}

Test(session, arbitrary_bytes_never_open_a_session)
{
    cr_assert(rc::check("garbage", [] {
        session two(connection_role::acceptor, settings_of("two"));
        if (*rc::gen::arbitrary<bool>()) {
            session one(connection_role::dialer, settings_of("one"));
            std::string handshake;
            one.take_output(handshake, max_record);
            two.feed(handshake);
        }
        two.feed(*rc::gen::arbitrary<std::string>());
        RC_ASSERT(!two.is_open());
        RC_ASSERT(two.take_records().empty());
    }));
}

Test(session, a_corrupted_handshake_never_opens_under_another_name)
{
    cr_assert(rc::check("corruption", [] {
        session one(connection_role::dialer, settings_of("one"));
        session two(connection_role::acceptor, settings_of("two"));
        std::string handshake;
        one.take_output(handshake, max_record);
        const auto at = *rc::gen::inRange<std::size_t>(0, handshake.size());
        handshake[at] =
            static_cast<char>(handshake[at] ^ (1 << *rc::gen::inRange(0, 8)));
        two.feed(handshake);
        exchange(one, two);
        if (two.is_open())
            RC_ASSERT(two.peer().instance == "one");
    }));
}

// A head that HTTP/2 forbids left the session waiting for another one.
Test(session, a_refused_head_ends_the_session)
{
    session acceptor(connection_role::acceptor, settings_of("two"));
    const std::string opening("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                              "\0\0\0\4\0\0\0\0\0",
                              33);
    // A request with the field "a: b" alone, on stream 1.
    const std::string head("\0\0\5\1\4\0\0\0\1"
                           "\0\1a\1b",
                           14);
    cr_assert(acceptor.feed(opening));
    acceptor.feed(head);
    std::string output;
    acceptor.take_output(output, max_record);
    cr_assert(acceptor.close_reason() == refusal::malformed);
}
