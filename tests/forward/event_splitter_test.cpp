#include "oriolefall/forward/event_splitter.hpp"

#include <algorithm>
#include <rapidcheck.h>
#include <string>
#include <variant>
#include <vector>

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
    cr_assert_eq(splitter.feed(event(1) + "id: 2\nda").events, event(1));
    cr_assert_eq(*splitter.last_event_id(), 1);
    cr_assert_eq(splitter.feed("ta: x2\n\n").events, event(2));
    cr_assert_eq(splitter.event_count(), 2);
}

Test(event_splitter, accepts_lf_and_crlf_line_ends)
{
    event_splitter splitter;
    const std::string stream = event(1, "\r\n\r\n") + event(2, "\r\n\r\n");
    cr_assert_eq(splitter.feed(stream).events, stream);
    cr_assert_eq(*splitter.last_event_id(), 2);
}

Test(event_splitter, drops_events_that_the_caller_already_has)
{
    event_splitter splitter(2);
    cr_assert_eq(splitter.feed(event(1) + event(2) + event(3)).events,
                 event(3));
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
                splitter.feed(std::string_view(stream).substr(position, size))
                    .events;
            position += size;
        }
        RC_ASSERT(received == stream);
        RC_ASSERT(splitter.event_count() == static_cast<unsigned>(event_count));
        RC_ASSERT(splitter.pending_bytes() == 0U);
    });
    cr_assert(holds);
}

Test(event_splitter, events_before_a_fault_are_returned_with_it)
{
    event_splitter splitter;
    const auto split = splitter.feed(event(1) + event(2) + "HTTP/1.1 200 OK" +
                                     "\r\n\r\n" + event(3));
    cr_assert_eq(split.events, event(1) + event(2));
    cr_assert(split.fault == event_fault::unknown_line);
    cr_assert_eq(*splitter.last_event_id(), 2);
}

// The events of another answer behind this one were joined to it.
Test(event_splitter, a_number_that_goes_back_is_a_fault)
{
    event_splitter splitter;
    const auto split =
        splitter.feed(event(1) + event(2) + event(3) + event(1) + event(4));
    cr_assert_eq(split.events, event(1) + event(2) + event(3));
    cr_assert(split.fault == event_fault::out_of_order);
}

Test(event_splitter, a_server_that_starts_over_may_send_what_the_caller_has)
{
    event_splitter splitter(3);
    const auto split = splitter.feed(event(1) + event(2) + event(3) + event(4));
    cr_assert_eq(split.events, event(4));
    cr_assert_not(split.fault);
}

Test(event_splitter, comments_and_blank_lines_are_no_events)
{
    event_splitter splitter;
    const auto split =
        splitter.feed("\n: a\n\n" + event(1) + "\r\n\r\n:\n\n\n" + event(2));
    cr_assert_eq(split.events, event(1) + event(2));
    cr_assert_not(split.fault);
    cr_assert_eq(splitter.event_count(), 2);
}

Test(event_splitter, an_event_without_end_is_a_fault)
{
    event_splitter splitter(std::nullopt, 100);
    cr_assert_not(splitter.feed(std::string(100, 'x')).fault);
    cr_assert(splitter.feed("x").fault == event_fault::too_large);
}

// Whatever a server sends, what is passed on are events with rising numbers.
Test(event_splitter, passes_on_nothing_but_events_with_rising_numbers)
{
    const bool holds = rc::check([] {
        const std::vector<std::string> pieces{event(1),
                                              event(2),
                                              event(7),
                                              event(30),
                                              "\n",
                                              "\r\n",
                                              "\n\n",
                                              "id: 9",
                                              "id: x\n\n",
                                              "data: a\n",
                                              "HTTP/1.1 200 OK\r\n",
                                              "A: b\r\n\r\n",
                                              "{}\n\n",
                                              std::string("\0\n\n", 3),
                                              "\xff\n\n"};
        std::string stream;
        const int count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i)
            stream += *rc::gen::elementOf(pieces);
        event_splitter splitter;
        const std::string passed = splitter.feed(stream).events;
        std::size_t begin = 0;
        std::uint64_t last = 0;
        while (begin < passed.size()) {
            const auto lf = passed.find("\n\n", begin);
            const auto crlf = passed.find("\n\r\n", begin);
            const auto end = std::min(lf, crlf) + (lf < crlf ? 2 : 3);
            const auto form = read_event_form(
                std::string_view(passed).substr(begin, end - begin));
            const auto* number = std::get_if<event_number>(&form);
            RC_ASSERT(number != nullptr);
            RC_ASSERT(number->value > last);
            last = number->value;
            begin = end;
        }
    });
    cr_assert(holds);
}
