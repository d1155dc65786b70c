#include "oriolefall/follow/store_protocol.hpp"

#include "oriolefall/net/guarded.hpp"

#include <string>
#include <string_view>
#include <variant>

namespace oriolefall::follow {

namespace {

/// A page after which more follows, but no object that it follows on.
bool cannot_go_on(const call_result& result)
{
    const auto* page = std::get_if<list_page>(&result);
    return page != nullptr && page->has_more && page->objects.empty();
}

} // namespace

read_answer_result read_answer(const store_protocol& protocol,
                               const read_call& call,
                               const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    if (answer == nullptr)
        return {call_failed{std::get<store_failure>(result).cause}, {}};
    read_answer_result read;
    const auto fail = [&read](std::string_view, std::string_view cause) {
        read.result = call_failed{"unreadable answer: " + std::string(cause)};
    };
    static_cast<void>(net::run_guarded(fail, "store", [&] {
        read.epoch = protocol.epoch(*answer);
        read.result = protocol.parse(call, *answer);
        if (cannot_go_on(read.result))
            read.result = call_failed{"list that names nothing to go on from"};
    }));
    return read;
}

} // namespace oriolefall::follow
