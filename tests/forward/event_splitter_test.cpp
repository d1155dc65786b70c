#include "oriolefall/forward/event_splitter.hpp"

#include "read_event_form.hpp"

#include <algorithm>
#include <rapidcheck.h>
#include <string>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall::forward;
using oriolefall::tests::read_event_form;

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

// The real event behind garbage with its number was taken for old.
Test(event_splitter, a_number_that_comes_twice_is_a_fault)
{
    event_splitter splitter;
    const auto split = splitter.feed("id: 0\ndata: a\n\nid: 0\ndata: b\n\n");
    cr_assert_eq(split.events, "id: 0\ndata: a\n\n");
    cr_assert(split.fault == event_fault::out_of_order);
}

Test(event_splitter, a_byte_order_mark_is_no_part_of_a_stream)
{
    event_splitter splitter;
    cr_assert_eq(splitter.feed("\xef\xbb").events, "");
    const auto split = splitter.feed("\xbf" + event(1) + event(2));
    cr_assert_eq(split.events, event(1) + event(2));
    cr_assert_not(split.fault);
}

Test(event_splitter, a_comment_at_the_end_is_not_inside_an_event)
{
    event_splitter splitter;
    static_cast<void>(splitter.feed(event(1) + ": bye\n: by"));
    cr_assert_not(splitter.is_inside_event());
    static_cast<void>(splitter.feed("e\nid"));
    cr_assert(splitter.is_inside_event());
}

Test(event_splitter, a_line_that_is_none_is_told_before_its_event_ends)
{
    event_splitter splitter;
    cr_assert(splitter.feed(event(1) + "no event\n").fault ==
              event_fault::unknown_line);
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

namespace {

/// Events and garbage in any order.
std::string any_stream()
{
    const std::vector<std::string> pieces{event(1),
                                          event(2),
                                          event(7),
                                          event(30),
                                          event(31, "\r\n\r\n"),
                                          "\n",
                                          "\r\n",
                                          ": c\n",
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
    return stream;
}

/// The numbers of the events in `text`; asserts that it holds nothing else.
std::vector<std::uint64_t> numbers_of(std::string_view text)
{
    std::vector<std::uint64_t> numbers;
    while (!text.empty()) {
        const auto lf = text.find("\n\n");
        const auto crlf = text.find("\n\r\n");
        const auto size = std::min(lf, crlf) + (lf < crlf ? 2 : 3);
        const auto form = read_event_form(text.substr(0, size));
        const auto* number = std::get_if<event_number>(&form);
        RC_ASSERT(number != nullptr);
        numbers.push_back(number->value);
        text.remove_prefix(size);
    }
    return numbers;
}

} // namespace

// Whatever a server sends, what is passed on are events with rising numbers.
Test(event_splitter, passes_on_nothing_but_events_with_rising_numbers)
{
    const bool holds = rc::check([] {
        event_splitter splitter;
        const auto split = splitter.feed(any_stream());
        const auto numbers = numbers_of(split.events);
        RC_ASSERT(std::ranges::is_sorted(numbers));
        RC_ASSERT(std::ranges::adjacent_find(numbers) == numbers.end());
    });
    cr_assert(holds);
}

Test(event_splitter, events_and_fault_are_independent_of_how_bytes_are_split)
{
    const bool holds = rc::check([] {
        const std::string stream = any_stream();
        event_splitter whole;
        const auto expected = whole.feed(stream);
        event_splitter splitter;
        split_result received;
        for (const char byte : stream) {
            const auto split = splitter.feed({&byte, 1});
            received.events += split.events;
            received.fault = split.fault;
            if (split.fault)
                break;
        }
        RC_ASSERT(received.events == expected.events);
        RC_ASSERT((received.fault == expected.fault));
    });
    cr_assert(holds);
}
