#ifndef ORIOLEFALL_CORE_SERVICE_CLASS_HPP
#define ORIOLEFALL_CORE_SERVICE_CLASS_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/tier.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>

namespace oriolefall::core {

/// Kind of backend server that answers the requests of a class.
enum class call_kind : std::uint8_t
{
    generate, ///< a model engine, which streams tokens
    service   ///< a plain service, which sends one answer
};

/// Latencies promised to the callers of a class; infinite where there is none.
struct latency_target
{
    absl::Duration first_token = absl::InfiniteDuration();
    absl::Duration between_tokens = absl::InfiniteDuration();
    absl::Duration whole_answer = absl::InfiniteDuration();
    std::strong_ordering operator<=>(const latency_target&) const = default;
};

/// A class of requests with its service level and priority.
struct service_class
{
    class_name name;
    core::tier tier = core::tier::standard;
    call_kind kind = call_kind::generate;
    /// If false, a request runs at most once and carries an idempotency key.
    bool idempotent = true;
    latency_target target;
    /// Maximum time from arrival to the end of the answer.
    absl::Duration deadline = absl::Seconds(60);
    /// Share of capacity reserved for this class, 0 to 1, to prevent its
    /// starvation.
    double minimum_share = 0.02;
    /// Maximum number of calls for one request, including the first one.
    std::uint32_t max_attempts = 3;
    std::partial_ordering operator<=>(const service_class&) const = default;
};

} // namespace oriolefall::core

#endif
