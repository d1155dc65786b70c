#include "oriolefall/forward/answer_form.hpp"

#include <criterion/criterion.h>

using namespace oriolefall::forward;

Test(answer_form, whose_answer_it_is)
{
    cr_assert(addressee_of("a", "a") == addressee::this_request);
    cr_assert(addressee_of("", "") == addressee::this_request);
    cr_assert(addressee_of("a", "") == addressee::unnamed);
    cr_assert(addressee_of("a", "b") == addressee::another_request);
    cr_assert(addressee_of("", "b") == addressee::another_request);
}

// A sound stream whose type is written otherwise was no stream.
Test(answer_form, the_type_of_a_stream_may_have_parameters_and_any_case)
{
    for (const char* type :
         {"text/event-stream", "Text/Event-Stream",
          "text/event-stream; charset=utf-8", "text/event-stream ;x"})
        cr_assert(is_event_stream(type), "%s", type);
    for (const char* type : {"", "text/event-streamlined", "text/plain"})
        cr_assert_not(is_event_stream(type), "%s", type);
}

Test(answer_form, each_coding_of_a_success_counts)
{
    answer_head_info info;
    info.is_signed = true;
    answer_head head;
    head.result(200);
    head.insert("Content-Encoding", "identity");
    cr_assert_eq(find_head_fault({}, head, info, false), "");
    head.insert("Content-Encoding", "gzip");
    cr_assert_eq(find_head_fault({}, head, info, false), "encoded_body");
}
