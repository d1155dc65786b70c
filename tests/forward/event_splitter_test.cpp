#include "oriolefall/forward/event_splitter.hpp"

#include <rapidcheck.h>
#include <string>

#include <criterion/criterion.h>

using namespace oriolefall::forward;

namespace {

std::string event(int id, const std::string& terminator = "\n\n")
{
    const std::string line_end = terminator.substr(0, terminator.size() / 2);
    return "id: " + std::to_string(id) + line_end + "data: x" +
           std::to_string(id) + terminator;
}

} // namespace

Test(event_splitter, returns_complete_events_only)
{
    event_splitter splitter;
    cr_assert_eq(splitter.feed(event(1) + "id: 2\nda"), event(1));
    cr_assert_eq(*splitter.last_event_id(), 1);
    cr_assert_eq(splitter.feed("ta: x2\n\n"), event(2));
    cr_assert_eq(splitter.event_count(), 2);
}

Test(event_splitter, accepts_lf_and_crlf_line_ends)
{
    event_splitter splitter;
    const std::string stream = event(1, "\r\n\r\n") + event(2, "\r\n\r\n");
    cr_assert_eq(splitter.feed(stream), stream);
    cr_assert_eq(*splitter.last_event_id(), 2);
}

Test(event_splitter, drops_events_that_the_caller_already_has)
{
    event_splitter splitter(2);
    cr_assert_eq(splitter.feed(event(1) + event(2) + event(3)), event(3));
}

Test(event_splitter, output_is_independent_of_how_the_bytes_are_split)
{
    const bool holds = rc::check([] {
        std::string stream;
        const int event_count = *rc::gen::inRange(0, 8);
        for (int id = 1; id <= event_count; ++id)
            stream +=
                event(id, *rc::gen::arbitrary<bool>() ? "\n\n" : "\r\n\r\n");
        event_splitter splitter;
        std::string received;
        std::size_t position = 0;
        while (position < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            received +=
                splitter.feed(std::string_view(stream).substr(position, size));
            position += size;
        }
        RC_ASSERT(received == stream);
        RC_ASSERT(splitter.event_count() == static_cast<unsigned>(event_count));
        RC_ASSERT(splitter.pending_bytes() == 0U);
    });
    cr_assert(holds);
}
