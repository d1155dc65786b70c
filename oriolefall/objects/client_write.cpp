#include "oriolefall/objects/client.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/objects/http_status.hpp"
#include "oriolefall/objects/wire.hpp"

namespace oriolefall::objects {

write_result client::write(call_type type, const pending_write& order)
{
    bool may_have_applied = false;
    unavailable last;
    for (std::uint32_t attempt = 0; attempt < settings_.max_attempts;
         ++attempt) {
        if (attempt > 0 && !pause(attempt - 1, last.retry_after)) {
            last = unavailable{failure::stopped};
            break;
        }
        const raw_result result = call(type, order.send);
        if (const auto* unsent = std::get_if<not_sent>(&result)) {
            last = unavailable{unsent->cause};
            continue;
        }
        if (const auto* answer = std::get_if<http_answer>(&result)) {
            const auto settled = settle(order, *answer, may_have_applied);
            if (settled)
                return *settled;
            last = refusal_of(*answer);
            may_have_applied |=
                answer->status != http_status::too_many_requests &&
                answer->status != http_status::unavailable;
            continue;
        }
        may_have_applied = true;
        last = unavailable{failure::no_answer};
        if (const auto found = read_back(order))
            return *found;
    }
    if (may_have_applied)
        return unknown_outcome{last.cause};
    return last;
}

std::optional<write_result> client::settle(const pending_write& order,
                                           const http_answer& answer,
                                           bool may_have_applied)
{
    if (answer.status < http_status::first_error)
        return written{wire::parse_version(answer.body).value_or(0)};
    if (answer.status == http_status::condition_failed) {
        if (may_have_applied)
            return resolve_conflict(order);
        return conflict{wire::parse_version(answer.body).value_or(0)};
    }
    if (answer.status == http_status::not_found) {
        if (!may_have_applied)
            return conflict{0};
        // A repeated deletion finds nothing once one of them took effect.
        if (order.write_id.empty())
            return written{0};
        return unknown_outcome{failure::no_answer};
    }
    if (answer.status == http_status::too_many_requests ||
        answer.status >= http_status::first_server_error)
        return std::nullopt;
    return rejected{core::concat("status ", answer.status)};
}

std::optional<write_result> client::read_back(const pending_write& order)
{
    const raw_result result = call(
        call_type::read_back, get_call(core::concat("/objects", order.path)));
    const auto* answer = std::get_if<http_answer>(&result);
    if (answer == nullptr)
        return std::nullopt;
    if (answer->status >= http_status::first_error)
        return std::nullopt;
    const auto object = wire::parse_object(answer->body);
    if (!object)
        return std::nullopt;
    if (!order.write_id.empty() && object->write_id == order.write_id)
        return written{object->version};
    // The version that this write had to find was replaced by another's.
    const auto expected = expected_version(order.condition);
    if (expected && object->version > *expected &&
        object->replaced_version == expected)
        return conflict{object->version};
    return std::nullopt;
}

write_result client::resolve_conflict(const pending_write& order)
{
    for (std::uint32_t attempt = 0; attempt < settings_.max_attempts;
         ++attempt) {
        if (const auto found = read_back(order))
            return *found;
        if (!pause(attempt, absl::ZeroDuration()))
            break;
    }
    return unknown_outcome{failure::no_answer};
}

} // namespace oriolefall::objects
