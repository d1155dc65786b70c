#include "oriolefall/follow/store_protocol.hpp"

#include <stdexcept>
#include <variant>
#include <vector>

#include <criterion/criterion.h>

using namespace oriolefall::follow;

// What the codec throws left the store's thread, and ended the process.
Test(store_protocol, an_answer_whose_reader_throws_is_a_failed_call)
{
    store_protocol protocol;
    protocol.epoch = [](const store_answer&) { return std::optional(7UL); };
    protocol.parse = [](const read_call&, const store_answer&) -> call_result {
        throw std::runtime_error("odd");
    };
    const auto read = read_answer(protocol, list_call{}, store_answer{200, ""});
    cr_assert_eq(std::get<call_failed>(read.result).cause,
                 "unreadable answer: odd");
    const auto lost =
        read_answer(protocol, list_call{}, store_failure{"reset"});
    cr_assert_eq(std::get<call_failed>(lost.result).cause, "reset");
}

// A page of entries without a readable name, with more to follow, was taken for
// the last one: what it did not name was removed.
Test(store_protocol, a_list_that_cannot_go_on_is_a_failed_call)
{
    store_protocol protocol;
    protocol.epoch = [](const store_answer&) { return std::nullopt; };
    list_page page{{}, true, 10};
    protocol.parse = [&page](const read_call&, const store_answer&) {
        return call_result(page);
    };
    const auto read = [&protocol] {
        return read_answer(protocol, list_call{}, store_answer{200, ""}).result;
    };
    cr_assert(std::holds_alternative<call_failed>(read()));
    page.has_more = false;
    cr_assert(read() == call_result(page));
    page = {{{"a", 1, "{}"}}, true, 10};
    cr_assert(read() == call_result(page));
}
