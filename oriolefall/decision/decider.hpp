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

/// What a `decider` has done since its start.
struct decider_figures
{
    /// Bytes that crossed regions and are paid for.
    std::uint64_t paid_bytes = 0;
    std::uint64_t cross_region_calls = 0;
    std::uint64_t ejections = 0;
    auto operator<=>(const decider_figures&) const = default;
};

/// Decides where requests go, when, and how each of them ends. A state
/// machine: no input or output, no clock, no lock. The same events at the
/// same times give the same actions. One thread at a time.
class decider
{
public:
    explicit decider(const decider_settings& settings);
    /// Hooks that are empty are replaced by the default ones.
    decider(const decider_settings& settings, const decider_hooks& hooks);

    /// Takes one event at `now` and adds the resulting actions to `out`.
    /// `now` never goes back from one call to the next.
    void step(absl::Time now, const event& event, std::vector<action>& out);

    /// When a `tick` is due at the latest, if nothing else happens.
    [[nodiscard]] absl::Time next_tick() const;

    /// Requests that were taken and have not ended.
    [[nodiscard]] std::size_t open_requests() const;

    [[nodiscard]] const decider_figures& figures() const
    {
        return figures_;
    }

private:
    using actions = std::vector<action>;

    /// What belongs to one route besides its servers.
    struct route_work
    {
        explicit route_work(const admission_settings& settings) : load(settings)
        {
        }
        route_queue queue;
        route_load load;
        /// Placements that may go to another region because a request
        /// would else have missed its target.
        std::size_t crossings = 0;
    };

    /// A refusal at arrival.
    struct refusal
    {
        core::reason cause;
        absl::Duration retry_after = absl::ZeroDuration();
    };

    // Arrivals, claims, endings: decider.cpp
    void on(absl::Time now, const request_arrived& event, actions& out);
    void on(absl::Time now, const caller_gone& event, actions& out);
    void on(absl::Time now, const key_claimed& event, actions& out);
    void on(absl::Time now, const table_applied& event, actions& out);
    void on(absl::Time now, const shutdown_requested& event, actions& out);
    void on(absl::Time now, const tick& event, actions& out);
    [[nodiscard]] std::optional<refusal>
    refuse_early(const core::request& request) const;
    open_request& open(absl::Time now, const core::request& request);
    void claim(open_request& request, actions& out);
    void on_due(absl::Time now, const request_due& due, actions& out);
    void on_due(absl::Time now, const server_due& due, actions& out);
    void on_due(absl::Time now, const dispatch_due& due, actions& out);
    void on_deadline(absl::Time now, open_request& request, actions& out);
    /// When a broken stream that found no server is given up.
    [[nodiscard]] static absl::Time last_resume(const open_request& request);
    void on_wake(absl::Time now, open_request& request, actions& out);
    /// Ends a request before or between its calls.
    void refuse(open_request& request, const refusal& why, actions& out);
    void finish(open_request& request, const core::verdict& verdict,
                absl::Duration retry_after, actions& out);
    static void note(open_request& request, step_kind kind, core::reason cause,
                     actions& out);

    // Bounds and the estimated wait: decider_admission.cpp
    [[nodiscard]] std::optional<refusal>
    admit(absl::Time now, const open_request& request, actions& out);
    [[nodiscard]] std::optional<refusal>
    refuse_late(absl::Time now, const open_request& request);
    [[nodiscard]] absl::Duration estimate_wait(absl::Time now,
                                               const open_request& request,
                                               const capacity& of);
    [[nodiscard]] bool make_room(const open_request& request, actions& out);

    // Queues and placement: decider_dispatch.cpp
    void enqueue(open_request& request);
    /// Settles the bounds of its class; the queue itself is up to the caller.
    void uncount(open_request& request);
    /// Takes a request out that is not to be served.
    void leave_queue(open_request& request);
    void dispatch(absl::Time now, route_index route, actions& out);
    void place_lagging(absl::Time now, route_index route, actions& out);
    void place_tier(absl::Time now, route_index route, core::tier tier,
                    actions& out);
    /// True when the request was started.
    bool place(absl::Time now, open_request& request, bool may_use_reserve,
               actions& out);
    bool drop_late(absl::Time now, open_request& request, actions& out);
    [[nodiscard]] bool may_use_near(absl::Time now, open_request& request,
                                    bool may_use_reserve);
    [[nodiscard]] bool may_cross(absl::Time now, const open_request& request,
                                 bool may_use_reserve);
    /// True when a request of a higher tier waits although a server of its
    /// route is free: that server is not for `request`.
    [[nodiscard]] bool higher_held_back(const open_request& request,
                                        bool far) const;
    /// True when the near servers cannot serve what waits up to its tier in
    /// time.
    [[nodiscard]] bool is_behind(absl::Time now, const open_request& request,
                                 const capacity& near) const;
    /// True when `tier` may take a free slot of those; else they are looked at
    /// again soon.
    [[nodiscard]] bool leaves_reserve(absl::Time now,
                                      const open_request& request,
                                      const capacity& of);
    void start(absl::Time now, open_request& request,
               const placement_choice& choice, bool far, actions& out);
    [[nodiscard]] absl::Duration
    silence_limit(const open_request& request) const;
    [[nodiscard]] queue_class queue_class_of(const open_request& request) const;

    // Calls: decider_calls.cpp
    void on(absl::Time now, const call_progressed& event, actions& out);
    void on(absl::Time now, const call_ended& event, actions& out);
    void on(absl::Time now, const load_reported& event, actions& out);
    void on_first_byte(absl::Time now, open_call& call, actions& out);
    void on_tokens(absl::Time now, open_call& call, std::uint64_t tokens,
                   actions& out);
    void learn_from(absl::Time now, const open_call& call,
                    const call_ended& event);
    void judge_server(absl::Time now, const open_call& call,
                      const call_ended& event, actions& out);
    void eject_outlier(absl::Time now, server_index server, actions& out);
    void go_on(absl::Time now, open_request& request, const call_ended& event,
               actions& out);
    void try_again(absl::Time now, open_request& request,
                   const retry_decision& decision, actions& out);
    void end_without_answer(open_request& request, const core::verdict& verdict,
                            core::reason cause, absl::Duration retry_after,
                            actions& out);
    [[nodiscard]] absl::Duration jittered(absl::Duration mean);

    decider_settings settings_;
    decider_hooks hooks_;
    std::uint64_t version_ = 0;
    bool leaving_ = false;
    bool recheck_set_ = false;
    class_table classes_;
    server_table servers_;
    /// By route index.
    std::vector<route_work> routes_;
    placement placement_;
    retry_budget budget_;
    timer_heap timers_;
    std::mt19937_64 random_;
    std::uint64_t next_call_ = 1;
    absl::flat_hash_map<core::request_id, std::unique_ptr<open_request>>
        requests_;
    absl::flat_hash_map<core::call_id, open_call> calls_;
    /// Requests that ended while their key was being claimed.
    absl::flat_hash_map<core::request_id, claim_key> ended_claims_;
    decider_figures figures_;
};

} // namespace oriolefall::decision

#endif
