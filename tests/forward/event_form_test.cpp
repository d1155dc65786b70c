#include "oriolefall/forward/event_form.hpp"

#include "read_event_form.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall::forward;
using oriolefall::tests::read_event_form;

Test(event_form, a_numbered_event_with_data_is_one)
{
    for (const std::string_view event :
         {"id: 7\ndata: a\n\n", "data: a\r\nid:7\r\n\r\n", "id: 7\ndata\n\n",
          ": note\nid: 7\nevent: e\nretry: 5\ndata: a\n\n",
          "event\nid: 7\nretry\ndata: \x1b[0m\n\n",
          "id: +007\ndata: a\ndata: b\n\n",
          "oriolefall-weight-versions: 3\nid: 7\ndata: \xc4\x93\tb\n\n"})
        cr_assert(read_event_form(event) == event_form(event_number{7}), "%s",
                  event.data());
}

Test(event_form, comments_and_blank_lines_are_no_events)
{
    for (const std::string_view text :
         {"\n", "\r\n", ":\n\n", ": HTTP/1.1 200 OK\r\n\r\n"})
        cr_assert(read_event_form(text) == event_form(comment_only{}));
}

// Such bytes were passed on as events without an id.
Test(event_form, what_no_run_made_is_a_fault)
{
    const std::vector<std::pair<std::string, event_fault>> cases{
        {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
         event_fault::unknown_line},
        {"data: a\n\n", event_fault::no_number},
        {"id: 1\n\n", event_fault::no_data},
        {"id\ndata: a\n\n", event_fault::unknown_line},
        {"id: \ndata: a\n\n", event_fault::no_number},
        {"id: x1\ndata: a\n\n", event_fault::no_number},
        {"id: -1\ndata: a\n\n", event_fault::no_number},
        {"id: 99999999999999999999\ndata: a\n\n", event_fault::no_number},
        {"id: 1\ndata: a\nid: 2\ndata: b\n\n", event_fault::no_number},
        {"id: 1\nda{\"error\":1}\n\n", event_fault::unknown_line},
        {"id: 1\ndata: a\nServer: b\r\n\r\n", event_fault::unknown_line},
        {"id: 1\ndata: a\rb\n\n", event_fault::not_text},
        {std::string("id: 1\ndata: \0\n\n", 14), event_fault::not_text},
        {"id: 1\ndata: \xff\xfe\n\n", event_fault::not_text},
        {"id: 1\ndata: \xc4\n\n", event_fault::not_text}};
    for (const auto& [bytes, fault] : cases)
        cr_assert(read_event_form(bytes) == event_form(fault), "%s",
                  bytes.c_str());
}

Test(event_form, each_fault_has_a_name_of_its_own)
{
    cr_assert_eq(to_string(event_fault::not_text), "not_text");
    cr_assert_eq(to_string(event_fault::too_large), "too_large");
}
