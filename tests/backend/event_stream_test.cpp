#include "oriolefall/backend/event_stream.hpp"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::backend::event_stream_parser;
using oriolefall::backend::stream_event;

namespace {

constexpr std::size_t max_event_bytes = 1024;

std::vector<stream_event> parse_at_once(const std::string& text)
{
    std::vector<stream_event> events;
    event_stream_parser parser(max_event_bytes);
    parser.feed(text, events);
    return events;
}

} // namespace

Test(event_stream, parses_ids_data_and_both_line_ends)
{
    const auto events =
        parse_at_once("id: 7\r\ndata: a\r\n\r\n: note\ndata:b\ndata: c\n\n");
    const std::vector<stream_event> expected{{"7", "a"}, {"7", "b\nc"}};
    cr_assert(events == expected);
}

Test(event_stream, an_incomplete_event_is_not_returned)
{
    cr_assert(parse_at_once("data: whole\n\ndata: part\n").size() == 1);
}

Test(event_stream, events_do_not_depend_on_how_the_bytes_are_split)
{
    const bool passed = rc::check("splits do not matter", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('i', 'd', ':', ' ', 'a', 't', '\n', '\r', '1'));
        const auto expected = parse_at_once(text);
        std::vector<stream_event> split;
        event_stream_parser parser(max_event_bytes);
        for (const char byte : text)
            parser.feed(std::string_view(&byte, 1), split);
        RC_ASSERT(split == expected);
    });
    cr_assert(passed);
}

Test(event_stream, fails_on_an_event_longer_than_the_maximum)
{
    event_stream_parser parser(8);
    std::vector<stream_event> events;
    cr_assert(parser.feed("data: ab", events));
    cr_assert_not(parser.feed("cdefghij", events));
}
