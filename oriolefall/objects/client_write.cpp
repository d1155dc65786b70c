#include "oriolefall/objects/client.hpp"

#include "oriolefall/core/concat.hpp"
#include "oriolefall/objects/http_status.hpp"
#include "oriolefall/objects/wire.hpp"

namespace oriolefall::objects {

write_result client::write(call_type type, const pending_write& pending)
{
    bool may_have_applied = false;
    unavailable last_error;
    for (std::uint32_t attempt = 0; attempt < settings_.max_attempts;
         ++attempt) {
        if (attempt > 0 &&
            !wait_before_retry(attempt - 1, last_error.retry_after)) {
            last_error = unavailable{failure::stopped};
            break;
        }
        const raw_result result = call_once(type, pending.send);
        if (const auto* error = std::get_if<not_sent>(&result)) {
            last_error = unavailable{error->cause};
            continue;
        }
        if (const auto* answer = std::get_if<http_answer>(&result)) {
            const auto final_result =
                result_of_answer(pending, *answer, may_have_applied);
            if (final_result)
                return *final_result;
            last_error = to_unavailable(*answer);
            may_have_applied |=
                answer->status != http_status::too_many_requests &&
                answer->status != http_status::service_unavailable;
            continue;
        }
        may_have_applied = true;
        last_error = unavailable{failure::no_answer};
        if (const auto found = read_back(pending))
            return *found;
    }
    if (may_have_applied)
        return unknown_outcome{last_error.cause};
    return last_error;
}

std::optional<write_result>
client::result_of_answer(const pending_write& pending,
                         const http_answer& answer, bool may_have_applied)
{
    if (answer.status < http_status::first_error)
        return written{wire::parse_version(answer.body).value_or(0)};
    if (answer.status == http_status::precondition_failed) {
        if (may_have_applied)
            return resolve_conflict(pending);
        return conflict{wire::parse_version(answer.body).value_or(0)};
    }
    if (answer.status == http_status::not_found) {
        if (!may_have_applied)
            return conflict{0};
        // A retried deletion finds no object once an earlier attempt has taken
        // effect.
        if (pending.write_id.empty())
            return written{0};
        return unknown_outcome{failure::no_answer};
    }
    if (answer.status == http_status::too_many_requests ||
        answer.status >= http_status::first_server_error)
        return std::nullopt;
    return rejected{core::concat("status ", answer.status)};
}

std::optional<write_result> client::read_back(const pending_write& pending)
{
    const raw_result result = call_once(
        call_type::read_back, get_call(core::concat("/objects", pending.path)));
    const auto* answer = std::get_if<http_answer>(&result);
    if (answer == nullptr)
        return std::nullopt;
    if (answer->status >= http_status::first_error)
        return std::nullopt;
    const auto object = wire::parse_object(answer->body);
    if (!object)
        return std::nullopt;
    if (!pending.write_id.empty() && object->write_id == pending.write_id)
        return written{object->version};
    // Another write replaced the version that this write expected.
    const auto expected = expected_version(pending.condition);
    if (expected && object->version > *expected &&
        object->replaced_version == expected)
        return conflict{object->version};
    return std::nullopt;
}

write_result client::resolve_conflict(const pending_write& pending)
{
    for (std::uint32_t attempt = 0; attempt < settings_.max_attempts;
         ++attempt) {
        if (const auto found = read_back(pending))
            return *found;
        if (!wait_before_retry(attempt, absl::ZeroDuration()))
            break;
    }
    return unknown_outcome{failure::no_answer};
}

} // namespace oriolefall::objects
