#ifndef ORIOLEFALL_DECISION_DECIDER_HPP
#define ORIOLEFALL_DECISION_DECIDER_HPP

#include "oriolefall/decision/action.hpp"
#include "oriolefall/decision/class_table.hpp"
#include "oriolefall/decision/decider_hooks.hpp"
#include "oriolefall/decision/decider_settings.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/decision/open_request.hpp"
#include "oriolefall/decision/placement.hpp"
#include "oriolefall/decision/retry_budget.hpp"
#include "oriolefall/decision/route_load.hpp"
#include "oriolefall/decision/route_queue.hpp"
#include "oriolefall/decision/server_table.hpp"
#include "oriolefall/decision/timer_heap.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace oriolefall::decision {

/// Counters of a `decider` since its start.
struct decider_stats
{
    /// Billed bytes: those sent between regions.
    std::uint64_t paid_bytes = 0;
    std::uint64_t cross_region_calls = 0;
    std::uint64_t ejections = 0;
    auto operator<=>(const decider_stats&) const = default;
};

/// Decides when and where each request is sent, and how it ends. A pure state
/// machine without I/O, clock or locks: equal events at equal times give equal
/// actions. Not thread-safe.
class decider
{
public:
    explicit decider(const decider_settings& settings);
    /// Empty hooks are replaced by the default ones.
    decider(const decider_settings& settings, const decider_hooks& hooks);

    /// Handles one event at time `now` and appends the resulting actions to
    /// `out`. `now` must not decrease from one call to the next.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// Latest time at which the next `tick` is needed if no other event comes.
    [[nodiscard]] absl::Time next_tick() const;

    /// Number of requests that have arrived and are not finished.
    [[nodiscard]] std::size_t open_requests() const;

    [[nodiscard]] const decider_stats& stats() const
    {
        return stats_;
    }

private:
    using actions = std::vector<action>;

    /// Queue and load statistics of one route.
    struct route_state
    {
        explicit route_state(const admission_settings& settings)
            : load(settings)
        {
        }
        route_queue queue;
        route_load load;
        /// Number of placements that may use another region, because requests
        /// were admitted that the local servers alone could not serve in time.
        std::size_t remote_allowance = 0;
    };

    /// Refusal of a request that has no call.
    struct refusal
    {
        core::reason cause;
        absl::Duration retry_after = absl::ZeroDuration();
    };

    // Arrivals, claims, timers and ends of requests: decider.cpp
    void on(absl::Time now, const request_arrived& event, actions& out);
    void on(absl::Time now, const caller_gone& event, actions& out);
    void on(absl::Time now, const key_claimed& event, actions& out);
    void on(absl::Time now, const table_applied& event, actions& out);
    void on(absl::Time now, const shutdown_requested& event, actions& out);
    void on(absl::Time now, const tick& event, actions& out);
    [[nodiscard]] std::optional<refusal>
    check_arrival(const core::request& request) const;
    open_request& add_request(absl::Time now, const core::request& request);
    void request_claim(open_request& request, actions& out);
    void on_timer(absl::Time now, const request_timer& timer, actions& out);
    void on_timer(absl::Time now, const server_timer& timer, actions& out);
    void on_timer(absl::Time now, const dispatch_timer& timer, actions& out);
    void on_deadline(absl::Time now, open_request& request, actions& out);
    /// Time at which an interrupted stream that found no server is given up.
    [[nodiscard]] static absl::Time
    resume_deadline(const open_request& request);
    void continue_request(absl::Time now, open_request& request, actions& out);
    /// Refuses a request before its first call or between calls.
    void refuse(open_request& request, const refusal& why, actions& out);
    void finish(open_request& request, const core::verdict& verdict,
                absl::Duration retry_after, actions& out);
    static void record_step(open_request& request, step_kind kind,
                            core::reason cause, actions& out);

    // Queue limits and the estimated wait: decider_admission.cpp
    [[nodiscard]] std::optional<refusal>
    admit(absl::Time now, const open_request& request, actions& out);
    [[nodiscard]] std::optional<refusal>
    refuse_if_late(absl::Time now, const open_request& request);
    [[nodiscard]] absl::Duration estimate_wait(absl::Time now,
                                               const open_request& request,
                                               const capacity& available);
    [[nodiscard]] bool evict_for(const open_request& request, actions& out);

    // Queues and placement: decider_dispatch.cpp
    void enqueue(open_request& request);
    /// Updates the counters of the class only; the caller removes the request
    /// from its queue.
    void remove_from_class_count(open_request& request);
    /// Removes a request from its queue without serving it.
    void remove_from_queue(open_request& request);
    void dispatch(absl::Time now, route_index route, actions& out);
    void place_underserved(absl::Time now, route_index route, actions& out);
    void place_tier(absl::Time now, route_index route, core::tier tier,
                    actions& out);
    /// Starts a call for the request if a server may take it; true if it did.
    bool place(absl::Time now, open_request& request, bool may_use_reserve,
               actions& out);
    bool refuse_overdue(absl::Time now, open_request& request, actions& out);
    [[nodiscard]] bool may_use_local(absl::Time now, open_request& request,
                                     bool may_use_reserve);
    [[nodiscard]] bool may_use_remote(absl::Time now,
                                      const open_request& request,
                                      bool may_use_reserve);
    /// True if a request of a higher tier waits in a route that has a free
    /// server and shares servers with the route of `request`; a free server is
    /// left to the higher tier.
    [[nodiscard]] bool is_higher_tier_waiting(const open_request& request,
                                              bool includes_remote) const;
    /// True if the local servers cannot serve the queued requests of its tier
    /// and of higher tiers in time.
    [[nodiscard]] bool is_local_backlogged(absl::Time now,
                                           const open_request& request,
                                           const capacity& local_servers) const;
    /// True if the request may take a free slot without using the slots
    /// reserved for higher tiers. Otherwise schedules another dispatch.
    [[nodiscard]] bool keeps_reserve(absl::Time now,
                                     const open_request& request,
                                     const capacity& available);
    void start(absl::Time now, open_request& request,
               const placement_choice& choice, bool is_remote, actions& out);
    [[nodiscard]] absl::Duration gap_timeout(const open_request& request) const;
    [[nodiscard]] queue_class queue_class_of(const open_request& request) const;

    // Calls: decider_calls.cpp
    void on(absl::Time now, const call_progressed& event, actions& out);
    void on(absl::Time now, const call_ended& event, actions& out);
    void on(absl::Time now, const load_reported& event, actions& out);
    void on_first_byte(absl::Time now, open_call& call, actions& out);
    void on_tokens(absl::Time now, open_call& call, std::uint64_t tokens,
                   actions& out);
    void update_estimates(absl::Time now, const open_call& call,
                          const call_ended& event);
    void record_call_result(absl::Time now, const open_call& call,
                            const call_ended& event, actions& out);
    void eject_outlier(absl::Time now, server_index server, actions& out);
    void on_unanswered_call(absl::Time now, open_request& request,
                            const call_ended& event, actions& out);
    void schedule_retry(absl::Time now, open_request& request,
                        const retry_decision& decision, actions& out);
    void finish_unanswered(open_request& request, const core::verdict& verdict,
                           core::reason cause, absl::Duration retry_after,
                           actions& out);
    [[nodiscard]] absl::Duration jittered(absl::Duration mean);

    decider_settings settings_;
    decider_hooks hooks_;
    std::uint64_t table_version_ = 0;
    bool is_shutting_down_ = false;
    bool is_recheck_scheduled_ = false;
    class_table classes_;
    server_table servers_;
    /// By route index.
    std::vector<route_state> routes_;
    placement placement_;
    retry_budget budget_;
    timer_heap timers_;
    std::mt19937_64 random_;
    std::uint64_t next_call_ = 1;
    absl::flat_hash_map<core::request_id, std::unique_ptr<open_request>>
        requests_;
    absl::flat_hash_map<core::call_id, open_call> calls_;
    /// Requests that ended while the claim of their key was pending.
    absl::flat_hash_map<core::request_id, claim_key> ended_claims_;
    decider_stats stats_;
};

} // namespace oriolefall::decision

#endif
