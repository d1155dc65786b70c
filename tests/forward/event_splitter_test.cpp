#include "oriolefall/forward/event_splitter.hpp"

#include <rapidcheck.h>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall::forward;

namespace {

std::string event(int id, const std::string& end = "\n\n")
{
    const std::string line_end = end.substr(0, end.size() / 2);
    return "id: " + std::to_string(id) + line_end + "data: x" +
           std::to_string(id) + end;
}

} // namespace

Test(event_splitter, gives_whole_events_only)
{
    event_splitter splitter;
    cr_assert_eq(splitter.take(event(1) + "id: 2\nda"), event(1));
    cr_assert_eq(*splitter.last_id(), 1);
    cr_assert_eq(splitter.take("ta: x2\n\n"), event(2));
    cr_assert_eq(splitter.events(), 2);
}

Test(event_splitter, knows_both_kinds_of_line_ends)
{
    event_splitter splitter;
    const std::string sent = event(1, "\r\n\r\n") + event(2, "\r\n\r\n");
    cr_assert_eq(splitter.take(sent), sent);
    cr_assert_eq(*splitter.last_id(), 2);
}

Test(event_splitter, drops_events_that_the_caller_has)
{
    event_splitter splitter(2);
    cr_assert_eq(splitter.take(event(1) + event(2) + event(3)), event(3));
}

Test(event_splitter, cuts_alike_however_the_bytes_come)
{
    const bool holds = rc::check([] {
        std::string all;
        const int events = *rc::gen::inRange(0, 8);
        for (int id = 1; id <= events; ++id)
            all += event(id, *rc::gen::arbitrary<bool>() ? "\n\n" : "\r\n\r\n");
        event_splitter splitter;
        std::string got;
        std::size_t at = 0;
        while (at < all.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            got += splitter.take(std::string_view(all).substr(at, size));
            at += size;
        }
        RC_ASSERT(got == all);
        RC_ASSERT(splitter.events() == static_cast<unsigned>(events));
        RC_ASSERT(splitter.take_rest().empty());
    });
    cr_assert(holds);
}
