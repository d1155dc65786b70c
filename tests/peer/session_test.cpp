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

/// Moves all bytes between two sessions, cut into parts of `part` bytes.
void exchange(session& one, session& two, std::size_t part = 100000)
{
    const auto move = [part](session& from, session& to) {
        std::string bytes;
        from.take_output(bytes, std::size_t{1} << 20);
        for (std::size_t at = 0; at < bytes.size(); at += part)
            to.feed(std::string_view(bytes).substr(at, part));
        return !bytes.empty();
    };
    bool moved = true;
    while (moved) {
        const bool there = move(one, two);
        const bool back = move(two, one);
        moved = there || back;
    }
}

} // namespace

Test(session, records_arrive_whole_and_in_order_however_bytes_are_cut)
{
    cr_assert(rc::check("cuts", [] {
        session one(connection_role::dialer, settings_of("one"));
        session two(connection_role::acceptor, settings_of("two"));
        const auto part = *rc::gen::inRange<std::size_t>(1, 200);
        exchange(one, two, part);
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
        exchange(one, two, part);
        RC_ASSERT(one.take_records() == sent);
        RC_ASSERT(two.take_records() == sent);
    }));
}

Test(session, a_wrong_key_is_refused)
{
    session one(connection_role::dialer, settings_of("one", "right"));
    session two(connection_role::acceptor, settings_of("two", "wrong"));
    exchange(one, two);
    cr_assert_not(one.is_open());
    cr_assert_not(two.is_open());
    cr_assert(one.close_reason() == refusal::unauthenticated);
}

/// An end that talks the protocol but has not the key.
Test(session, a_dialer_without_the_key_is_refused_by_the_acceptor)
{
    session right(connection_role::dialer, settings_of("one", "right"));
    session wrong(connection_role::dialer, settings_of("one", "wrong"));
    session other(connection_role::acceptor, settings_of("two", "wrong"));
    session two(connection_role::acceptor, settings_of("two", "right"));
    // What the dialer says to an acceptor of its own key is replayed.
    std::string hello;
    wrong.take_output(hello, max_record * max_record);
    other.feed(hello);
    std::string answer;
    other.take_output(answer, max_record * max_record);
    wrong.feed(answer);
    cr_assert(wrong.is_open());
    std::string proof;
    wrong.take_output(proof, max_record * max_record);
    cr_assert(two.feed(hello));
    two.feed(proof);
    cr_assert_not(two.is_open());
    cr_assert(two.close_reason() == refusal::unauthenticated);
}

Test(session, no_common_version_is_refused_at_both_ends)
{
    session one(connection_role::dialer, settings_of("one", "key", {3, 4}));
    session two(connection_role::acceptor, settings_of("two", "key", {1, 2}));
    exchange(one, two);
    cr_assert(one.close_reason() == refusal::wrong_version);
    cr_assert(two.close_reason() == refusal::wrong_version);
}

Test(session, two_releases_agree_on_the_highest_common_version)
{
    session one(connection_role::dialer, settings_of("one", "key", {1, 2}));
    session two(connection_role::acceptor, settings_of("two", "key", {2, 5}));
    exchange(one, two);
    cr_assert(one.is_open());
    cr_assert_eq(one.version(), 2);
    cr_assert_eq(two.version(), 2);
}

Test(session, an_oversized_record_ends_the_session)
{
    session_settings wide = settings_of("one");
    wide.max_record_bytes = 4 * max_record;
    session one(connection_role::dialer, wide);
    session two(connection_role::acceptor, settings_of("two"));
    exchange(one, two);
    cr_assert_not(two.send(std::string(max_record + 1, 'x')));
    cr_assert(one.send(std::string(max_record + 1, 'x')));
    exchange(one, two);
    cr_assert(two.close_reason() == refusal::oversized);
}

Test(session, a_full_queue_takes_no_more)
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

Test(session, any_bytes_are_taken_or_refused)
{
    cr_assert(rc::check("garbage", [] {
        session two(connection_role::acceptor, settings_of("two"));
        if (*rc::gen::arbitrary<bool>()) {
            session one(connection_role::dialer, settings_of("one"));
            std::string hello;
            one.take_output(hello, max_record);
            two.feed(hello);
        }
        two.feed(*rc::gen::arbitrary<std::string>());
        RC_ASSERT(!two.is_open());
        RC_ASSERT(two.take_records().empty());
    }));
}

Test(session, damaged_bytes_never_open_it_with_a_wrong_name)
{
    cr_assert(rc::check("damage", [] {
        session one(connection_role::dialer, settings_of("one"));
        session two(connection_role::acceptor, settings_of("two"));
        std::string hello;
        one.take_output(hello, max_record);
        const auto at = *rc::gen::inRange<std::size_t>(0, hello.size());
        hello[at] =
            static_cast<char>(hello[at] ^ (1 << *rc::gen::inRange(0, 8)));
        two.feed(hello);
        exchange(one, two);
        if (two.is_open())
            RC_ASSERT(two.peer().instance == "one");
    }));
}
