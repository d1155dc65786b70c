#ifndef ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP
#define ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace oriolefall::decision {

/// Bounds of what waits.
struct queue_settings
{
    /// Requests of one class that wait at most.
    std::size_t max_requests = 4096;
    /// Bytes of their bodies at most.
    std::size_t max_bytes = std::size_t{64} << 20U;
    std::strong_ordering operator<=>(const queue_settings&) const = default;
};

/// When a request is refused because it could only be late.
struct admission_settings
{
    /// Part of the wait that its target allows which the estimated wait of a
    /// lower tier may take; the highest tier may take all of it.
    double lower_tier_wait_share = 1.0;
    /// Quantile of the learned output length that a whole answer is planned
    /// with.
    double length_quantile = 0.8;
    /// Window of the observed arrival rates.
    absl::Duration arrival_rate_window = absl::Seconds(5);
    /// Part of a route's slots that lower tiers leave free for higher ones
    /// at least, once a higher one has been seen.
    double min_reserve_share = 0.06;
    /// Standard deviations of the arrivals within the allowed wait that the
    /// reserve covers.
    double reserve_deviations = 2.0;
    absl::Duration min_retry_after = absl::Seconds(1);
    absl::Duration max_retry_after = absl::Seconds(30);
    std::partial_ordering
    operator<=>(const admission_settings&) const = default;
};

/// How a backend server is chosen.
struct placement_settings
{
    /// Servers drawn at random for each choice.
    std::uint32_t candidates = 3;
    /// Weight of a load report halves in this time.
    absl::Duration report_half_life = absl::Seconds(1);
    /// Taken off the score of a server that was sent the same prompt head.
    double recent_prefix_bonus = 0.5;
    /// Taken off the score of the head's home by rendezvous hashing.
    double affinity_server_bonus = 0.25;
    /// Heads remembered, over all servers.
    std::size_t prefix_history_size = 8192;
    /// How long a head is taken to stay in a server's cache.
    absl::Duration prefix_lifetime = absl::Seconds(60);
    /// Bytes that one token takes on the way; for paid bytes.
    std::uint32_t bytes_per_token = 6;
    std::partial_ordering
    operator<=>(const placement_settings&) const = default;
};

/// How the concurrency limit of a server follows its latency.
struct limit_settings
{
    /// First-token time relative to the usual one that counts as congestion.
    double congestion_ratio = 4.0;
    /// Excess over the usual first-token time that is never congestion.
    absl::Duration min_excess = absl::Milliseconds(300);
    double decrease_factor = 0.8;
    /// Shortest time between two decreases.
    absl::Duration decrease_interval = absl::Milliseconds(200);
    std::partial_ordering operator<=>(const limit_settings&) const = default;
};

/// When a server is taken out for a while.
struct ejection_settings
{
    /// Time between tokens relative to its peers' that makes a straggler.
    double slow_ratio = 2.5;
    /// Steps, and time, over which a server has to be slow without a break.
    std::uint32_t min_samples = 12;
    absl::Duration slow_window = absl::Milliseconds(1200);
    /// Failures in a row that eject a server.
    std::uint32_t consecutive_failures = 3;
    /// Part of the servers of a route that may be out at once.
    double max_ejected_share = 0.34;
    /// First time out; doubles with each ejection in a row.
    absl::Duration base_ejection_time = absl::Seconds(2);
    absl::Duration max_ejection_time = absl::Seconds(60);
    /// Good calls that end a probe.
    std::uint32_t probe_successes = 2;
    std::partial_ordering operator<=>(const ejection_settings&) const = default;
};

/// How often and when a request is tried again.
struct retry_settings
{
    /// Retries earned by each success.
    double budget_ratio = 0.1;
    /// Retries that can be saved up; the budget starts with them.
    double budget_capacity = 50.0;
    /// Mean wait before the first retry; doubles with each.
    absl::Duration base_backoff = absl::Milliseconds(10);
    absl::Duration max_backoff = absl::Seconds(1);
    /// Mean wait before a key is claimed again while nothing can be agreed.
    absl::Duration claim_backoff = absl::Milliseconds(250);
    /// Part of a class's shortest target after which a connection without a
    /// byte counts as silent.
    double gap_timeout_share = 0.75;
    /// The same for requests that cannot be sent again.
    double non_idempotent_gap_timeout_share = 0.95;
    std::partial_ordering operator<=>(const retry_settings&) const = default;
};

/// What is fixed for the life of a `decider`.
struct decider_settings
{
    /// Where this instance stands; servers of its region go first.
    core::location location;
    /// Seed of the random choices; equal seeds give equal decisions.
    std::uint64_t seed = 1;
    queue_settings queue = {};
    admission_settings admission = {};
    placement_settings placement = {};
    limit_settings limit = {};
    ejection_settings ejection = {};
    retry_settings retry = {};
};

} // namespace oriolefall::decision

#endif
