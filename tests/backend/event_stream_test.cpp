#include "oriolefall/backend/event_stream.hpp"

#include <rapidcheck.h>
#include <string>
#include <vector>

#include <criterion/criterion.h>

using oriolefall::backend::event_stream_parser;
using oriolefall::backend::stream_event;

namespace {

constexpr std::size_t large = 1024;

std::vector<stream_event> parse_whole(const std::string& text)
{
    std::vector<stream_event> events;
    event_stream_parser parser(large);
    parser.feed(text, events);
    return events;
}

} // namespace

Test(event_stream, reads_ids_data_and_both_line_ends)
{
    const auto events =
        parse_whole("id: 7\r\ndata: a\r\n\r\n: note\ndata:b\ndata: c\n\n");
    const std::vector<stream_event> expected{{"7", "a"}, {"7", "b\nc"}};
    cr_assert(events == expected);
}

Test(event_stream, an_unfinished_event_is_not_given)
{
    cr_assert(parse_whole("data: whole\n\ndata: part\n").size() == 1);
}

Test(event_stream, gives_the_same_events_however_the_bytes_are_cut)
{
    const bool held = rc::check("cuts do not matter", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('i', 'd', ':', ' ', 'a', 't', '\n', '\r', '1'));
        const auto whole = parse_whole(text);
        std::vector<stream_event> cut;
        event_stream_parser parser(large);
        for (const char byte : text)
            parser.feed(std::string_view(&byte, 1), cut);
        RC_ASSERT(cut == whole);
    });
    cr_assert(held);
}

Test(event_stream, refuses_an_event_beyond_the_limit)
{
    event_stream_parser parser(8);
    std::vector<stream_event> events;
    cr_assert(parser.feed("data: ab", events));
    cr_assert_not(parser.feed("cdefghij", events));
}
