#ifndef ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP
#define ORIOLEFALL_DECISION_DECIDER_SETTINGS_HPP

#include "oriolefall/core/backend_server.hpp"
#include "oriolefall/scheduling/concurrency_limit.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>

namespace oriolefall::decision {

/// Queue limits.
struct queue_settings
{
    /// Maximum number of queued requests of one class.
    std::size_t max_requests = 4096;
    /// Maximum total size of their bodies, in bytes.
    std::size_t max_bytes = std::size_t{64} << 20U;
    std::strong_ordering operator<=>(const queue_settings&) const = default;
};

/// Early refusal of requests that would miss their target.
struct admission_settings
{
    /// Share of the allowed wait that the estimated wait of a request may
    /// reach, for tiers below the highest; the highest may use all of it.
    double lower_tier_wait_share = 1.0;
    /// Quantile of the learned output lengths that is assumed for a whole
    /// answer.
    double length_quantile = 0.8;
    /// Averaging window of the arrival rates.
    absl::Duration arrival_rate_window = absl::Seconds(5);
    /// Minimum share of a route's slots that lower tiers leave free for each
    /// higher tier with recent requests.
    double min_reserve_share = 0.06;
    /// The reserve covers the expected number of arrivals within the allowed
    /// wait plus this many standard deviations.
    double reserve_deviations = 2.0;
    absl::Duration min_retry_after = absl::Seconds(1);
    absl::Duration max_retry_after = absl::Seconds(30);
    std::partial_ordering
    operator<=>(const admission_settings&) const = default;
};

/// Choice of a backend server for a call.
struct placement_settings
{
    /// Servers drawn at random for each choice.
    std::uint32_t candidates = 3;
    /// Half-life of the weight of a load report.
    absl::Duration report_half_life = absl::Seconds(1);
    /// Subtracted from the score of a server that was sent the same prompt
    /// prefix.
    double recent_prefix_bonus = 0.5;
    /// Subtracted from the score of the prefix's affinity server, which
    /// rendezvous hashing selects.
    double affinity_server_bonus = 0.25;
    /// Capacity of the prefix history, over all servers.
    std::size_t prefix_history_size = 8192;
    /// How long a prefix is assumed to stay in a server's cache.
    absl::Duration prefix_lifetime = absl::Seconds(60);
    /// Bytes on the wire for each token, to count billed bytes.
    std::uint32_t bytes_per_token = 6;
    std::partial_ordering
    operator<=>(const placement_settings&) const = default;
};

/// Outlier ejection.
struct ejection_settings
{
    /// Ratio of a server's time between tokens to that of its peers above which
    /// it is a straggler.
    double slow_ratio = 2.5;
    /// Minimum number of token intervals, and minimum time, over which a server
    /// has to be continuously slow.
    std::uint32_t min_samples = 12;
    absl::Duration slow_window = absl::Milliseconds(1200);
    /// Consecutive failures that eject a server.
    std::uint32_t consecutive_failures = 3;
    /// Maximum share of the servers of a route that may be ejected at once.
    double max_ejected_share = 0.34;
    /// Duration of the first ejection; doubles with each consecutive one.
    absl::Duration base_ejection_time = absl::Seconds(2);
    absl::Duration max_ejection_time = absl::Seconds(60);
    /// Successful calls that end the probation after an ejection.
    std::uint32_t probe_successes = 2;
    std::partial_ordering operator<=>(const ejection_settings&) const = default;
};

/// Limits and delays of retries.
struct retry_settings
{
    /// Retries earned by each success.
    double budget_ratio = 0.1;
    /// Maximum number of saved retries; also the initial budget.
    double budget_capacity = 50.0;
    /// Mean wait before the first retry; doubles with each retry.
    absl::Duration base_backoff = absl::Milliseconds(10);
    absl::Duration max_backoff = absl::Seconds(1);
    /// Mean wait before a key is claimed again while the store is unavailable.
    absl::Duration claim_backoff = absl::Milliseconds(250);
    /// Gap timeout of a call, as a share of the shortest target of its class.
    double gap_timeout_share = 0.75;
    /// The same for requests that are not idempotent.
    double non_idempotent_gap_timeout_share = 0.95;
    std::partial_ordering operator<=>(const retry_settings&) const = default;
};

/// Settings that are fixed for the life of a `decider`.
struct decider_settings
{
    /// The instance's own location; servers of its region are preferred.
    core::location location;
    /// Seed of the random choices; equal seeds give equal decisions.
    std::uint64_t seed = 1;
    queue_settings queue = {};
    admission_settings admission = {};
    placement_settings placement = {};
    scheduling::limit_settings limit = {};
    ejection_settings ejection = {};
    retry_settings retry = {};
};

} // namespace oriolefall::decision

#endif
