#ifndef ORIOLEFALL_CORE_REASON_HPP
#define ORIOLEFALL_CORE_REASON_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolefall::core {

/// Why a request ended without a whole answer. Each is a counter.
enum class reason : std::uint8_t
{
    queue_full,           ///< bounded queue of its class, by count or bytes
    ring_full,            ///< a ring between threads had no room
    estimated_late,       ///< admission: could only miss its deadline
    deadline_passed,      ///< its deadline came before it was answered
    workspace_over_share, ///< its workspace holds more than its share
    no_backend_server,    ///< none serves this model or class at present
    backend_refused,      ///< backend servers said that they refuse it
    connect_failed,       ///< no byte could be sent to a backend server
    connection_lost,      ///< the connection ended before the answer did
    connection_silent,    ///< no byte came within the silence limit
    backend_error,        ///< a backend server answered with an error
    retry_budget_spent,   ///< the share of retries was used up
    attempts_spent,       ///< the request had all its attempts
    instance_leaving,     ///< this instance takes no new requests
    caller_gone,          ///< the caller closed its connection
    duplicate_key,        ///< a request with this key ran or may have run
    key_in_progress,      ///< a request with this key is running elsewhere
    platform_unavailable, ///< what must be agreed could not be
    issuer_gone,          ///< the instance that knows this key is gone
    connection_limit,     ///< too many open connections at this instance
    invalid_request,      ///< the caller's message was malformed
    unknown_class,
    unknown_model,
    unauthorized
};

inline constexpr std::size_t reason_count = 24;

/// The name used in answers, logs and metrics.
[[nodiscard]] std::string_view to_string(reason value);
/// All reasons, in the order of the enumeration.
[[nodiscard]] std::array<reason, reason_count> all_reasons();

} // namespace oriolefall::core

#endif
