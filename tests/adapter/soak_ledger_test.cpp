#include "tests/adapter/soak/ledger.hpp"
#include "tests/adapter/soak/schedule.hpp"

#include <criterion/criterion.h>

namespace {

using namespace oriolefall::soak;
using std::chrono::milliseconds;

const time_point start{milliseconds(100000)};

promises bounds(bool planned_only)
{
    return {2, milliseconds(6000), milliseconds(2000), milliseconds(2500),
            planned_only};
}

attempt seen(request_kind kind, ending how, unsigned status)
{
    attempt made;
    made.id = "a1";
    made.kind = kind;
    made.instance = "instance-0";
    made.path = "/book/item";
    made.body = "b";
    made.workspace = "w";
    made.sent = start;
    made.ended = start + milliseconds(50);
    made.how = how;
    made.status = status;
    made.signature = signature_of("a1", "s1");
    made.answer = answer_of("a1", "s1");
    return made;
}

run ran(time_point at)
{
    return {"s1", "desk", "/book/item", "b", "w", at};
}

std::size_t broken(const ledger& book)
{
    return book.broken().size();
}

} // namespace

Test(soak_ledger, a_whole_answer_breaks_nothing)
{
    ledger book(bounds(true));
    book.begin_run("a1", ran(start));
    book.add(seen(request_kind::unsafe, ending::answered, 200));
    cr_assert_eq(broken(book), 0);
    cr_assert_eq(book.answered(), 1);
}

Test(soak_ledger, a_second_run_of_unsafe_work_is_told)
{
    ledger book(bounds(false));
    book.begin_run("a1", ran(start));
    book.begin_run("a1", ran(start));
    book.add(seen(request_kind::unsafe, ending::answered, 200));
    cr_assert_eq(broken(book), 1);
}

Test(soak_ledger, a_refusal_after_a_run_is_told)
{
    ledger book(bounds(false));
    book.begin_run("a1", ran(start));
    book.add(seen(request_kind::unsafe, ending::answered, 503));
    cr_assert_eq(broken(book), 1);
}

Test(soak_ledger, a_body_that_is_not_the_servers_is_told)
{
    ledger book(bounds(false));
    book.begin_run("a1", ran(start));
    attempt spoiled = seen(request_kind::safe, ending::answered, 200);
    spoiled.answer.pop_back();
    book.add(spoiled);
    cr_assert_eq(broken(book), 1);
}

Test(soak_ledger, a_stream_that_ends_too_early_is_told)
{
    ledger book(bounds(false));
    book.begin_run("a1", ran(start));
    attempt short_one =
        seen(request_kind::resumable_stream, ending::answered, 200);
    short_one.events = 1;
    book.add(short_one);
    cr_assert_eq(broken(book), 1);
}

Test(soak_ledger, planned_work_may_cut_nothing)
{
    ledger calm(bounds(true));
    calm.begin_run("a1", ran(start));
    calm.add(seen(request_kind::safe, ending::cut, 0));
    cr_assert_eq(broken(calm), 1);
    ledger rough(bounds(false));
    rough.begin_run("a1", ran(start));
    rough.add(seen(request_kind::safe, ending::cut, 0));
    cr_assert_eq(broken(rough), 0);
}

Test(soak_ledger, a_server_known_to_leave_gets_nothing_unless_in_trouble)
{
    const auto late = start + milliseconds(3000);
    ledger book(bounds(false));
    book.note_leaving("s1", start);
    book.begin_run("a1", ran(late));
    book.add(seen(request_kind::safe, ending::answered, 200));
    cr_assert_eq(broken(book), 1);
    book.note_trouble("instance-0", {start, late, "paused"});
    cr_assert_eq(broken(book), 0);
}

Test(soak_ledger, a_route_that_moved_back_is_judged_by_its_last_move)
{
    ledger book(bounds(false));
    book.note_moved("/book/item", "desk", start);
    book.note_moved("/book/item", "annex", start + milliseconds(1000));
    book.begin_run("a1", ran(start + milliseconds(5000)));
    book.add(seen(request_kind::safe, ending::answered, 200));
    cr_assert_eq(broken(book), 1);
    book.note_moved("/book/item", "desk", start + milliseconds(4000));
    cr_assert_eq(broken(book), 0);
}

Test(soak_ledger, equal_seeds_give_equal_schedules)
{
    const milliseconds length(9000);
    cr_assert(make_schedule(7, length) == make_schedule(7, length));
    cr_assert(make_schedule(7, length) != make_schedule(8, length));
    for (const step& each : make_schedule(9, length))
        cr_assert(is_planned(each.what));
}

// A server that had said that it leaves got a request that was sent later.
Test(soak_ledger, a_call_to_a_server_that_said_that_it_leaves_is_told)
{
    ledger book(bounds(false));
    attempt first = seen(request_kind::safe, ending::answered, 200);
    first.id = "a0";
    first.sent = start - milliseconds(3000);
    book.note_said_leaving({"a0", "s1", first.sent});
    book.note_arrival({"a1", "s1", start});
    book.begin_run("a1", ran(start));
    book.add(seen(request_kind::unsafe, ending::answered, 200));
    cr_assert_eq(broken(book), 0);
    first.how = ending::cut;
    book.add(first);
    cr_assert_eq(broken(book), 1);
    book.note_restart("instance-0", start - milliseconds(3500));
    cr_assert_eq(broken(book), 1);
    book.note_restart("instance-0", start - milliseconds(500));
    cr_assert_eq(broken(book), 0);
}

// More than two requests reached a server that had asked for quiet.
Test(soak_ledger, calls_to_a_server_that_wants_quiet_are_told)
{
    ledger book(bounds(false));
    attempt made = seen(request_kind::safe, ending::cut, 0);
    book.add(made);
    book.note_quiet({"a1", "s1", start}, start + milliseconds(2000));
    for (const int after_ms : {100, 700, 800, 2100})
        book.note_arrival({"a1", "s1", start + milliseconds(after_ms)});
    cr_assert_eq(broken(book), 0);
    book.note_arrival({"a1", "s1", start + milliseconds(900)});
    cr_assert_eq(broken(book), 1);
}
