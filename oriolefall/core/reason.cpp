#include "oriolefall/core/reason.hpp"

#include <cassert>
#include <cstddef>

namespace oriolefall::core {

namespace {
constexpr std::array<std::string_view, reason_count> names{
    "queue_full",           "ring_full",
    "estimated_late",       "deadline_passed",
    "workspace_over_share", "no_backend_server",
    "backend_refused",      "connect_failed",
    "connection_lost",      "connection_silent",
    "backend_error",        "retry_budget_spent",
    "attempts_spent",       "instance_leaving",
    "caller_gone",          "duplicate_key",
    "key_in_progress",      "platform_unavailable",
    "issuer_gone",          "connection_limit",
    "invalid_request",      "unknown_class",
    "unknown_model",        "unauthorized"};
static_assert(static_cast<std::size_t>(reason::unauthorized) + 1 ==
              reason_count);
} // namespace

std::string_view to_string(reason value)
{
    const auto index = static_cast<std::size_t>(value);
    assert(index < names.size());
    return names[index];
}

std::array<reason, reason_count> all_reasons()
{
    std::array<reason, reason_count> all{};
    for (std::size_t i = 0; i < reason_count; ++i)
        all[i] = static_cast<reason>(i);
    return all;
}

} // namespace oriolefall::core
