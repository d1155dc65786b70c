#ifndef ORIOLEFALL_CORE_REASON_HPP
#define ORIOLEFALL_CORE_REASON_HPP

#include <array>
#include <cstdint>
#include <string_view>

namespace oriolefall::core {

/// Why a request ended without a complete answer. Each reason has a counter.
enum class reason : std::uint8_t
{
    queue_full,      ///< the queue of its class was full, by count or bytes
    ring_full,       ///< a ring between threads was full
    estimated_late,  ///< admission: it could not meet its deadline
    deadline_passed, ///< its deadline passed before it was answered
    workspace_over_share, ///< its workspace used more than its fair share
    no_backend_server,    ///< no server currently serves its model or class
    backend_refused,      ///< backend servers refused it
    connect_failed,       ///< no byte could be sent to a backend server
    connection_lost,      ///< the connection closed before the answer ended
    connection_silent,    ///< no byte was received within the gap timeout
    backend_error,        ///< a backend server answered with an error
    retry_budget_spent,   ///< the retry budget was exhausted
    attempts_spent,       ///< the request had used all its attempts
    instance_leaving,     ///< this instance is leaving, takes no new requests
    caller_gone,          ///< the caller closed its connection
    duplicate_key,        ///< a request with this key ran or may have run
    key_in_progress,      ///< a request with this key is running elsewhere
    platform_unavailable, ///< a required agreement could not be reached
    issuer_gone,          ///< the instance that knows this key has stopped
    connection_limit,     ///< too many open connections at this instance
    invalid_request,      ///< the caller's request was malformed
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
