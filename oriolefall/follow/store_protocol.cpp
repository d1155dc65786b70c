#include "oriolefall/follow/store_protocol.hpp"

#include "oriolefall/net/guarded.hpp"

#include <variant>

namespace oriolefall::follow {

read_answer_result read_answer(const store_protocol& protocol,
                               const read_call& call,
                               const store_result& result)
{
    const auto* answer = std::get_if<store_answer>(&result);
    if (answer == nullptr)
        return {call_failed{std::get<store_failure>(result).cause}, {}};
    read_answer_result read;
    const bool is_read = net::run_guarded([&] {
        read.epoch = protocol.epoch(*answer);
        read.result = protocol.parse(call, *answer);
    });
    if (!is_read)
        read.result = call_failed{"unreadable answer"};
    return read;
}

} // namespace oriolefall::follow
