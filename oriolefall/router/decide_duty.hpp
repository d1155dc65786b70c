#ifndef ORIOLEFALL_ROUTER_DECIDE_DUTY_HPP
#define ORIOLEFALL_ROUTER_DECIDE_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/dispatch/dispatcher.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace oriolefall::router {

/// Runs the dispatcher on a thread of its own. Events arrive through a bounded
/// ring; the resulting actions are passed to hooks.
class decide_duty
{
public:
    struct hooks
    {
        /// Submits an action to the forwarding duty; false when its queue is
        /// full.
        std::function<bool(const dispatch::action&)> submit;
        std::function<void(const dispatch::decision_record&)> record_decision;
        std::function<void(const dispatch::ejection_change&)> record_ejection;
        std::function<void(const dispatch::quarantine_change&)>
            record_quarantine;
        std::function<void(const dispatch::rate_limit_change&)>
            record_rate_limit;
        std::function<void(const dispatch::notice_record&)> record_notice;
        /// Send the report to the other instances; reports may be lost.
        std::function<void(const dispatch::load_report&)> send_load_report;
        std::function<void(const dispatch::crash_report&)> send_crash_report;
        std::function<void(const dispatch::notice_report&)> send_notice_report;
        /// The following may be empty.
        std::function<void(const dispatch::run_began&)> record_run_began = {};
        std::function<void(const dispatch::report_demand&)> record_demand = {};
        /// Called each second.
        std::function<void()> on_second = {};
        std::function<void(const dispatch::capacity_record&)> record_capacity =
            [](const auto&) {};
    };

    decide_duty(dispatch::dispatch_settings settings,
                dispatch::dispatch_hooks dispatch, hooks hooks,
                std::size_t capacity);
    ~decide_duty();
    decide_duty(const decide_duty&) = delete;
    decide_duty& operator=(const decide_duty&) = delete;

    void start();
    void stop();
    /// Never blocks; false when the event is dropped. What tells of a call, and
    /// what ends a request, has room while the events that may be dropped
    /// (arrivals, reports, what is told again) fill a quarter of the ring at
    /// most. Thread-safe.
    [[nodiscard]] bool try_post(dispatch::event event);
    /// The latest state replaces one that the duty has not seen yet, so that
    /// none is lost, however busy the duty is. Never blocks. Thread-safe.
    void post_state(dispatch::routes_changed routes);
    void post_state(dispatch::servers_changed servers);
    void post_state(dispatch::fleet_changed fleet);
    void post_state(dispatch::retry_budget_changed budget);
    /// An instance that is linked to a hundred others hears hundreds of loads a
    /// second: of each of them only the latest counts.
    void post_state(dispatch::load_report_received load);

private:
    /// States that the duty has not seen yet.
    struct new_states
    {
        std::optional<dispatch::routes_changed> routes;
        std::optional<dispatch::servers_changed> servers;
        std::optional<dispatch::fleet_changed> fleet;
        std::optional<dispatch::retry_budget_changed> retry_budget;
        /// By the instance that reports.
        std::map<core::instance_id, dispatch::load_report_received> loads;
    };

    void run();
    template <class State>
    void replace(std::optional<State> new_states::*known, State state);
    void wake();
    void apply_new_states(absl::Time now);
    void execute_actions();
    void report_load(const dispatch::load_report& report);

    dispatch::dispatcher dispatcher_;
    hooks hooks_;
    core::bounded_ring<dispatch::event> events_;
    std::mutex new_states_mutex_;
    new_states new_states_;
    /// Actions that wait until the forwarding duty has room for them.
    std::deque<dispatch::action> pending_actions_;
    std::vector<dispatch::action> actions_;
    absl::Time next_second_at_ = absl::InfiniteFuture();
    absl::Time next_capacity_record_at_ = absl::InfinitePast();
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::router

#endif
