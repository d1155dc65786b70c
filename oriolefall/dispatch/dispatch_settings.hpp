#ifndef ORIOLEFALL_DISPATCH_DISPATCH_SETTINGS_HPP
#define ORIOLEFALL_DISPATCH_DISPATCH_SETTINGS_HPP

#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/quarantine_settings.hpp"
#include "oriolefall/dispatch/retry_budget.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::dispatch {

/// Settings of the dispatcher of one instance.
struct dispatch_settings
{
    core::instance_id own_instance;
    /// Region of this instance.
    core::region_name own_region;
    retry_budget_settings retry_budget;
    ejection_settings ejection;
    placement_settings placement;
    lane_settings lanes;
    quarantine_settings quarantine;
    capacity_settings capacity;
    /// All services use capacity learning and admission control, not only those
    /// whose servers report how slow their machines are or are ordered from the
    /// provider.
    bool protects_servers = false;
    /// Minimum time between two reports of crashes, or of notices, to the other
    /// instances, and time after which what is quarantined is told again.
    absl::Duration report_spacing = absl::Milliseconds(30);
    absl::Duration quarantine_report_interval = absl::Seconds(2);
    /// Time that a server has gone on with an answer from which the request is
    /// taken not to crash it.
    absl::Duration min_answer_time = absl::Milliseconds(250);
    /// Time between two load reports to the other instances.
    absl::Duration report_interval = absl::Milliseconds(150);
    /// Time between two reports of the demand for elastic services.
    absl::Duration demand_interval = absl::Seconds(1);
    /// Minimum number of instances that share retry budgets and connection
    /// limits; used until more instances are known.
    std::uint32_t min_instances = 1;
    /// Base retry-after of refusals of requests that did not run. An instance
    /// without settings waits for the store, which is unreachable for seconds;
    /// servers whose entries lapsed meanwhile are back within two seconds.
    absl::Duration retry_after_without_settings = absl::Seconds(1);
    absl::Duration retry_after_without_server = absl::Milliseconds(500);
    absl::Duration retry_after_overloaded = absl::Milliseconds(400);
    absl::Duration retry_after_default = absl::Milliseconds(150);
    /// Time after which the queue is tried again, and its estimates are checked
    /// again, if nothing else causes it.
    absl::Duration queue_interval = absl::Milliseconds(20);
    /// Placement cost beyond that of the best server up to which a request goes
    /// to another one that admits it. It grows by this multiple of the time
    /// that the request has waited, as all others of its tier wait behind it.
    absl::Duration max_extra_cost = absl::Seconds(1);
    double extra_cost_per_wait = 10;
    /// Calls per slot, running and waiting, up to which a server gets a request
    /// of the most urgent tier, or of one whose share is due; and up to which
    /// it gets one of the most urgent tier while no such call of this instance
    /// waits there.
    double max_urgent_calls_per_slot = 1.5;
    double max_calls_per_slot = 4;
    /// Share of a server's limit that less urgent tiers may use.
    double less_urgent_share = 0.85;
    /// Bounds on the retry-after of a request that would wait too long, before
    /// its random factor.
    absl::Duration min_retry_after_queue = absl::Milliseconds(100);
    absl::Duration max_retry_after_queue = absl::Seconds(10);
    /// Time beyond the request timeout that an answer in progress is given.
    absl::Duration deadline_grace = absl::Milliseconds(60);
    /// Minimum time before the deadline for which a retry is attempted.
    absl::Duration min_time_for_retry = absl::Milliseconds(50);
    /// The first-event timeout of calls to plain services that may be retried
    /// is the larger of this multiple of the expected time and this fraction
    /// of the latency target.
    double stall_expected_factor = 4;
    double stall_target_factor = 0.7;
    /// The gap timeout of streams that may be retried is the larger of this
    /// multiple of the gap target and this minimum.
    double gap_timeout_target_factor = 3;
    absl::Duration min_gap_timeout = absl::Milliseconds(1200);
    /// The limit of a server of which nothing was heard for a time is
    /// forgotten, in case the news that it was lifted was lost. The time is the
    /// larger of the minimum and that in which the server takes this number of
    /// requests for each instance.
    absl::Duration min_limit_lifetime = absl::Minutes(1);
    double limit_lifetime_factor = 5;
    /// Requests per second; for a server that takes fewer.
    double min_limit = 0.1;
    absl::Duration limit_check_interval = absl::Seconds(1);
    /// Share by which the time that a server wants no calls is made longer at
    /// random, so that instances don't return to it together.
    double max_quiet_time_spread = 0.1;
    /// Maximum number of incarnations of servers whose notices are remembered.
    std::size_t max_restricted_servers = 4096;
    /// Maximum number of concurrently open requests.
    std::size_t max_open_requests = 4000;
    std::partial_ordering operator<=>(const dispatch_settings&) const = default;
};

/// Replaceable parts of the dispatcher.
struct dispatch_hooks
{
    placement_cost_hook cost;
    /// Generates uniformly distributed random numbers.
    std::function<std::uint64_t()> random;
};

} // namespace oriolefall::dispatch

#endif
