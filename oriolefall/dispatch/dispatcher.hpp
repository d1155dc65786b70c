#ifndef ORIOLEFALL_DISPATCH_DISPATCHER_HPP
#define ORIOLEFALL_DISPATCH_DISPATCHER_HPP

#include "oriolefall/dispatch/action.hpp"
#include "oriolefall/dispatch/answer_times.hpp"
#include "oriolefall/dispatch/demand_meter.hpp"
#include "oriolefall/dispatch/dispatch_settings.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/dispatch/peer_load.hpp"
#include "oriolefall/dispatch/prompt_quarantine.hpp"
#include "oriolefall/dispatch/service_pool.hpp"
#include "oriolefall/dispatch/waiting_requests.hpp"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace oriolefall::dispatch {

/// Decides to which server each request is sent, which calls are retried and
/// how requests end. A deterministic state machine without I/O, clock or codec:
/// the same events at the same times with the same random numbers produce the
/// same actions. Not thread-safe.
class dispatcher
{
public:
    dispatcher(dispatch_settings settings, dispatch_hooks hooks);

    /// Processes one event at time `now` and appends the resulting actions to
    /// `out`.
    void step(absl::Time now, const event& event, std::vector<action>& out);
    /// Latest time at which a `tick` event must be given.
    [[nodiscard]] absl::Time next_tick() const;
    [[nodiscard]] std::size_t open_requests() const;
    /// What is learned of the servers of each service that uses capacity
    /// learning, as of the last event.
    [[nodiscard]] std::vector<capacity_record> capacity_records() const;

private:
    struct open_call
    {
        core::call_id id;
        core::backend_server_id server;
        std::int64_t server_started_at_ms = 0;
        absl::Time sent_at;
        /// Prompt tokens expected not to be in the server's cache.
        std::uint32_t uncached_tokens = 0;
        /// Expected time to the first event or the answer, in ms.
        double expected_ms = 0;
        /// The server has finished the prefill of the prompt.
        bool is_prefilled = false;
        /// Counted as urgent in the demand for the service.
        bool is_urgent = false;
        /// Load of the server when the call was sent; set where the service
        /// uses capacity learning.
        std::optional<learned_load> learned;
        absl::Time answer_started_at = absl::InfinitePast();
        /// A call of the most urgent tier without an answer yet, of a service
        /// with admission control.
        bool is_urgent_unstarted = false;
    };

    struct open_request
    {
        arrival arrival_event;
        /// Owns the objects that `route` and `workspace` point to.
        std::shared_ptr<const routing::route_table> table;
        const routing::route* route = nullptr;
        const routing::workspace* workspace = nullptr;
        routing::service_name service;
        /// The servers of the service are model engines.
        bool is_engine = false;
        /// Distinct servers that the request was sent to.
        std::vector<core::backend_server_id> tried;
        /// Servers to which no connection could be made for this request.
        std::vector<core::backend_server_id> unreachable;
        std::optional<open_call> call;
        /// At least one call may have run.
        bool may_have_run = false;
        /// Part of an answer has been sent to the caller.
        bool has_answer_started = false;
        /// A server has begun to run it, which has been counted.
        bool has_run_begun = false;
        /// A target was missed, which has been counted.
        bool is_late = false;
        absl::Time deadline = absl::InfiniteFuture();
        /// It waits for a server, without a call.
        bool is_waiting = false;
        /// Time from which it waited; InfinitePast if it never did.
        absl::Time queued_at = absl::InfinitePast();
        std::uint32_t tier = 0;
        absl::Duration expected_wait = absl::ZeroDuration();
    };

    /// Admission control of one service.
    struct service_admission
    {
        waiting_requests waiting;
        /// The most urgent tier that its routes and the workspaces allow.
        std::uint32_t most_urgent_tier = 0;
        /// Mean slowness of its servers at the last try of the queue.
        double mean_slowness = 1;
        /// Own calls of the most urgent tier without an answer yet.
        absl::flat_hash_map<core::backend_server_id, std::uint32_t>
            urgent_unstarted;
        absl::Time next_try_at = absl::InfiniteFuture();
    };

    /// With which right a request is let in at a server.
    struct admission_right
    {
        /// Priority among the tiers that the service has; 0 is the most urgent.
        std::uint32_t priority = 0;
        /// Its tier's share of the sends from the queue is due.
        bool is_share_due = false;
    };

    struct admission_choice
    {
        std::optional<server_view> server;
        /// There is a server that would take the request at another time.
        bool has_candidate = false;
    };
    using request_map = absl::flat_hash_map<std::uint64_t, open_request>;
    using server_map =
        std::map<core::backend_server_id, std::unique_ptr<server_state>>;

    void on(const arrival& event);
    void on(const caller_left& event);
    void on(const call_not_run& event);
    void on(const call_broken& event);
    void on(const call_silent& event);
    void on(const call_answer_started& event);
    void on(const call_failed& event);
    void on(const call_completed& event);
    void on(const routes_changed& event);
    void on(const servers_changed& event);
    void on(const retry_budget_changed& event);
    void on(const fleet_changed& event);
    void on(const load_report_received& event);
    void on(const crash_report_received& event);
    void on(const notice_report_received& event);
    void on(const tick& event);

    /// Looks up the route and workspace of `request`. Returns the reason to
    /// refuse the request at arrival, if any.
    [[nodiscard]] std::optional<refusal> check_admission(open_request& request);
    [[nodiscard]] routing::service_name choose_service(const routing::route&);
    /// Sends the request to a server, or refuses it for `without_server` when
    /// there is none.
    void place_request(open_request& request, refusal without_server);
    /// Refuses the request with `without_server`, or because the servers take
    /// no more requests per second.
    void refuse_without_server(open_request& request, refusal without_server);
    /// True when requests for the service wait while its servers are full.
    [[nodiscard]] bool uses_admission(const open_request& request) const;
    [[nodiscard]] service_admission&
    admission_of(const routing::service_name& name);
    [[nodiscard]] std::uint32_t
    most_urgent_tier(const routing::service_name& name) const;
    [[nodiscard]] queued_request make_queued(const open_request& request);
    /// Sends new work to a server that admits it, queues it or refuses it.
    void admit_request(open_request& request, refusal without_server);
    /// Priority among the tiers that the service has; 0 is the most urgent.
    [[nodiscard]] static std::uint32_t
    relative_priority(const service_admission& admission, std::uint32_t tier);
    /// Calls of all instances at the server, as far as known, with the calls
    /// that other instances have reported.
    [[nodiscard]] double known_calls(const server_state& server,
                                     double other_calls) const;
    /// Also true for a server without room for the prompt if `tokens` is 0.
    [[nodiscard]] bool may_take(const service_admission& admission,
                                const server_state& server, double other_calls,
                                std::uint32_t tokens,
                                admission_right right) const;
    /// True if a server may take a call of the request. Sets `has_candidate`
    /// if one would at another time.
    [[nodiscard]] bool has_room(const open_request& request,
                                admission_right right, bool& has_candidate);
    /// Expected time until one of the slots is free for a further call, in ms.
    [[nodiscard]] double slot_wait_ms(const server_view& view,
                                      double service_ms) const;
    /// Counts a call of the most urgent tier until its answer starts.
    void record_urgent_sent(const open_request& request, open_call& call);
    void record_urgent_started(const routing::service_name& service,
                               open_call& call);
    /// Chooses the cheapest server that admits the request, within the bounds
    /// on its extra cost. With `is_room_known` it does not ask first whether
    /// any server has room.
    [[nodiscard]] admission_choice choose_admitting(const open_request& request,
                                                    admission_right right,
                                                    bool is_room_known = false);
    /// Tries the queues of the services whose servers have changed, or whose
    /// time for the next try has come.
    void serve_waiting();
    void shed_hopeless(service_admission& admission);
    /// Sends or refuses one of the next requests; false if all have to wait.
    /// With `changed`, only this server may have got room.
    bool serve_next(service_admission& admission, const server_state* changed);
    bool serve_request(service_admission& admission,
                       const queued_request& queued, admission_right right,
                       const server_state* changed);
    void record_answer_times(const open_request& request);
    [[nodiscard]] absl::Duration retry_after_queue(const open_request& request);
    void log_queued(const open_request& request);
    /// Chooses a server for a retry and charges the retry budget; empty when
    /// the server limit, the deadline, the servers or the budget allow none.
    [[nodiscard]] std::optional<server_view>
    choose_retry_server(const open_request& request);
    /// Retries the request if all limits allow it; otherwise returns false.
    [[nodiscard]] bool try_retry(open_request& request);
    /// True when the route allows the request to run more than once, or its
    /// stream to be resumed.
    [[nodiscard]] bool may_retry(const open_request& request) const;
    [[nodiscard]] std::optional<server_view>
    choose_server(const open_request& request);
    [[nodiscard]] placement_query make_query(const open_request& request);
    [[nodiscard]] bool is_candidate(const open_request& request,
                                    const server_state& server) const;
    [[nodiscard]] bool is_ejected_or_probed(const server_state& server) const;
    /// Priority of the call at an engine. The priority of the workspace takes
    /// precedence over that of the route, which orders the requests within the
    /// same workspace priority.
    [[nodiscard]] static std::uint32_t
    server_priority(const open_request& request);
    [[nodiscard]] static std::uint32_t
    priority_at_server(std::uint32_t workspace_priority,
                       std::uint32_t route_priority);
    /// True unless the server is draining, has said that it leaves or has been
    /// tried for this request.
    [[nodiscard]] static bool is_usable(const open_request& request,
                                        const server_state& server);
    /// True for a usable server that takes a further call now.
    [[nodiscard]] bool is_eligible(const open_request& request,
                                   const server_state& server) const;
    /// Earliest time at which a usable server takes a call; InfiniteFuture if
    /// there is none.
    [[nodiscard]] absl::Time next_call_at(const open_request& request) const;
    void send_to(open_request& request, const server_view& view);
    /// Sets the first-event and gap timeouts of calls that may be retried.
    void set_stall_timeouts(const open_request& request, double expected_ms,
                            send_call& call_action) const;
    [[nodiscard]] service_pool& pool_of(const routing::service_name& name);
    void report_load();
    /// Counts the first answer to the request of all its calls.
    void record_run_began(open_request& request);
    void record_late_answer(open_request& request);
    void record_refused(const open_request& request, refusal cause);
    /// True if no route to the service is more urgent.
    [[nodiscard]] bool is_urgent(const open_request& request) const;
    void update_elastic_services();
    void send_demand();
    /// Records what a broken call tells about the prompt parts of the request.
    void record_broken_call(const open_request& request);
    /// Takes answers that have gone on for a while as signs that the prompt
    /// parts of their requests are sound.
    void record_answers_in_progress();
    void record_alive(const open_call& call);
    /// The quarantine that keeps the request from the servers, or null. When
    /// its time is over, one request at a time may try.
    [[nodiscard]] const quarantined_parts*
    find_quarantine(const open_request& request) const;
    [[nodiscard]] bool is_tried(const quarantined_parts& quarantine,
                                const open_request& except) const;
    /// Ends the requests that a server would soon crash on, logs what has
    /// changed and tells the other instances.
    void apply_quarantine();
    void cancel_quarantined_calls();
    void log_quarantine_changes();
    void report_crashes();
    void update_cache_capacities();
    /// Turns capacity learning on for the services that the settings name.
    void update_capacity_learning();
    /// Turns it on for a service of which a server reports a WORK figure.
    void apply_work_figure(const server_state& server,
                           const server_notice& notice);
    /// Passes the load of the other instances to the servers that learn their
    /// capacity.
    void apply_peer_loads();
    void apply_observations(const load_report& report);
    /// What was heard of servers since the last load report.
    [[nodiscard]] std::vector<server_observation> make_observations();
    void set_initial_scale(server_state& added);
    /// The server of the open call if its service uses capacity learning and it
    /// has not been restarted since; otherwise null.
    [[nodiscard]] server_state* learning_server_of(const open_request& request);
    void record_learned_timeout(const open_request& request);
    void record_learned_first_event(const open_request& request);
    void record_learned_stream(const open_request& request,
                               const call_completed& event);
    /// Records a failure of the server whose call exceeded the deadline.
    void record_timeout(const open_request& request);
    void end_with_refusal(open_request& request, refusal cause);
    void record_first_event(const open_request& request, server_state& server);
    /// Records the work that a call of the request causes at an engine.
    void record_engine_work(const open_request& request,
                            std::uint32_t uncached_tokens);
    void record_finished_stream(const open_request& request);
    /// Removes the open call and its load at the server from the state.
    void finish_call(open_request& request);
    void erase_request(core::request_id id);
    void cancel_open_call(open_request& request);
    /// The request whose open call is `call`, or null.
    [[nodiscard]] open_request* find_request(core::request_id id,
                                             core::call_id call);
    /// State of the server of the open call; null when it is no longer listed.
    [[nodiscard]] server_state* server_of(const open_request& request);
    /// Applies what a server said of itself in an answer to the open call.
    void apply_notice(const open_request& request, const server_notice& notice);
    /// A server that the store lists again has the limit that it had.
    void restore_limiter(server_state& added);
    void apply_restrictions(server_state& server, const server_notice& notice);
    void update_rate_limit(server_state& server, absl::Time heard_at,
                           std::optional<double> limit);
    /// Sets the part of its limit that this instance may use.
    void update_rate_share(server_state& server);
    void update_rate_shares();
    void forget_old_limits();
    void report_notices();
    [[nodiscard]] retry_budget&
    retry_budget_of(const routing::service_name& name);
    /// This instance's share of the connection limit of a server.
    [[nodiscard]] std::uint32_t
    connection_limit_share(const open_request&) const;
    [[nodiscard]] absl::Duration base_retry_after(refusal cause) const;
    /// The base retry-after of `cause` with random jitter.
    [[nodiscard]] absl::Duration make_retry_after(refusal cause);
    [[nodiscard]] absl::Duration retry_after_of(const open_request& request,
                                                refusal cause);
    /// Makes a decision record with the current state of the request.
    [[nodiscard]] decision_record make_record(const open_request& request,
                                              decision outcome) const;
    void log_decision(const open_request& request, decision outcome,
                      std::string_view cause = {}, int status = 0);
    void log_sent(const open_request& request, const server_view& view);
    void log_answered(const open_request& request, const call_completed& event);
    void log_broken(const open_request& request, const call_broken& event);
    void log_refused(const open_request& request, refusal cause);
    /// Records the outcome of a call by calling `record` on the server, and
    /// logs an ejection or readmission that results from it.
    void record_outcome(server_state& server,
                        void (server_state::*record)(absl::Time));

    dispatch_settings settings_;
    dispatch_hooks hooks_;
    std::shared_ptr<const routing::route_table> table_;
    /// A list of servers has been received.
    bool has_servers_ = false;
    server_map servers_;
    std::map<routing::service_name, service_pool> pools_;
    peer_load peer_load_;
    std::map<routing::service_name, retry_budget> retry_budgets_;
    prompt_quarantine quarantine_;
    std::uint64_t applied_quarantine_revision_ = 0;
    std::vector<quarantined_parts> logged_quarantine_;
    absl::Time next_crash_report_at_ = absl::InfinitePast();
    absl::Time next_quarantine_report_at_ = absl::InfiniteFuture();
    request_map requests_;
    std::map<routing::service_name, service_admission> admissions_;
    answer_times answer_times_;
    /// Servers that may have room since the queues were tried last.
    std::vector<core::backend_server_id> changed_servers_;
    bool have_all_changed_ = false;
    /// Deadlines of the open requests, earliest first.
    std::set<std::pair<absl::Time, std::uint64_t>> deadlines_;
    /// Number of instances that share retry budgets and connection limits.
    std::uint32_t instance_count_ = 1;
    std::vector<core::instance_id> members_;
    call_restrictions restrictions_;
    /// Incarnations that have said something that can't be read.
    std::set<server_incarnation> servers_with_invalid_notices_;
    std::set<core::backend_server_id> limited_servers_;
    /// Servers whose limit has changed since the last report.
    std::set<core::backend_server_id> changed_limits_;
    absl::Time next_notice_report_at_ = absl::InfinitePast();
    absl::Time next_limit_check_at_ = absl::InfinitePast();
    absl::Time next_report_at_ = absl::InfiniteFuture();
    demand_meter demand_;
    /// Priority of the most urgent route to each service.
    std::map<routing::service_name, std::uint32_t> urgent_priorities_;
    std::vector<routing::service_name> elastic_services_;
    absl::Time next_demand_at_ = absl::InfiniteFuture();
    absl::Time observations_sent_at_ = absl::InfinitePast();
    absl::Time next_peer_load_at_ = absl::InfinitePast();
    std::uint64_t applied_peer_load_ = 0;
    std::uint64_t next_call_id_ = 1;
    absl::Time now_ = absl::InfinitePast();
    /// Output of the current `step`; null outside of it.
    std::vector<action>* actions_ = nullptr;
};

} // namespace oriolefall::dispatch

#endif
