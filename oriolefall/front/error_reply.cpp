#include "oriolefall/front/error_reply.hpp"

#include "oriolefall/front/json_text.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace oriolefall::front {

namespace {

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int conflict = 409;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int service_unavailable = 503;
constexpr int gateway_timeout = 504;

core::reason reason_of(const core::verdict& verdict)
{
    if (const auto* refused = std::get_if<core::not_run>(&verdict))
        return refused->reason;
    assert(std::holds_alternative<core::may_have_run>(verdict));
    return std::get<core::may_have_run>(verdict).reason;
}

/// Returns the status of a reason for the cases in which it does not depend on
/// whether the request may have run.
int status_of(core::reason reason)
{
    switch (reason) {
    case core::reason::invalid_request:
        return bad_request;
    case core::reason::unauthorized:
        return unauthorized;
    case core::reason::unknown_class:
    case core::reason::unknown_model:
        return not_found;
    case core::reason::duplicate_key:
    case core::reason::key_in_progress:
    case core::reason::issuer_gone:
        return conflict;
    case core::reason::queue_full:
    case core::reason::workspace_over_share:
        return too_many_requests;
    case core::reason::deadline_passed:
        return gateway_timeout;
    default:
        return service_unavailable;
    }
}

/// True when the cause lies with backend servers or the calls to them, not with
/// this instance.
bool is_backend_failure(core::reason reason)
{
    switch (reason) {
    case core::reason::connect_failed:
    case core::reason::connection_lost:
    case core::reason::connection_silent:
    case core::reason::backend_error:
    case core::reason::backend_refused:
    case core::reason::retry_budget_spent:
    case core::reason::attempts_spent:
    case core::reason::caller_gone:
        return true;
    default:
        return false;
    }
}

int status_of(const core::verdict& verdict)
{
    const core::reason reason = reason_of(verdict);
    const bool may_have_run =
        std::holds_alternative<core::may_have_run>(verdict);
    return may_have_run && is_backend_failure(reason) ? bad_gateway
                                                      : status_of(reason);
}

std::string_view type_of(int status)
{
    switch (status) {
    case unauthorized:
        return "authentication_error";
    case not_found:
        return "not_found_error";
    case conflict:
        return "conflict_error";
    case too_many_requests:
        return "rate_limit_error";
    case bad_gateway:
        return "upstream_error";
    case service_unavailable:
        return "overloaded_error";
    case gateway_timeout:
        return "timeout_error";
    default:
        return "invalid_request_error";
    }
}

std::string default_message(const core::verdict& verdict)
{
    const bool is_not_run = std::holds_alternative<core::not_run>(verdict);
    return std::string(is_not_run ? "the request was not run: "
                                  : "the request may have run: ") +
           std::string(core::to_string(reason_of(verdict)));
}

std::int64_t to_retry_after_seconds(absl::Duration retry_after)
{
    const absl::Duration bounded =
        std::clamp(retry_after, absl::Seconds(1), absl::Hours(1));
    return absl::ToInt64Seconds(absl::Ceil(bounded, absl::Seconds(1)));
}

} // namespace

error_reply make_error_reply(const core::verdict& verdict,
                             absl::Duration retry_after,
                             std::string_view message)
{
    const std::string_view reason = core::to_string(reason_of(verdict));
    error_reply reply;
    reply.status = status_of(verdict);
    const std::string text =
        message.empty() ? default_message(verdict) : std::string(message);
    reply.body = to_text({{"error",
                           {{"message", text},
                            {"type", type_of(reply.status)},
                            {"code", reason},
                            {"verdict", core::to_string(verdict)},
                            {"reason", reason}}}});
    if (reply.status == too_many_requests ||
        reply.status == service_unavailable)
        reply.retry_after_seconds = to_retry_after_seconds(retry_after);
    return reply;
}

error_reply make_refusal_reply(const refusal& refusal)
{
    return make_error_reply(
        core::refusal_verdict(refusal.reason, refusal.may_have_key),
        absl::ZeroDuration(), refusal.message);
}

} // namespace oriolefall::front
