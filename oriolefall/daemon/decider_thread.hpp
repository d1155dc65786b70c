#ifndef ORIOLEFALL_DAEMON_DECIDER_THREAD_HPP
#define ORIOLEFALL_DAEMON_DECIDER_THREAD_HPP

#include "oriolefall/backend/call_task.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/daemon/exchange.hpp"
#include "oriolefall/daemon/inbound.hpp"
#include "oriolefall/decision/decider.hpp"
#include "oriolefall/observe/record.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace oriolefall::daemon {

/// Hooks that carry out the decider's actions. Called on the decider thread;
/// none may block.
struct action_hooks
{
    /// Starts a call; false when the queue of calls is full.
    std::function<bool(backend::call_task)> start_call;
    std::function<void(core::call_id)> cancel_call;
    /// Requests a claim, whose result comes as a `key_claimed` event. False
    /// when the queue of claims is full.
    std::function<bool(const decision::claim_key&)> claim_key;
    std::function<void(const decision::record_outcome&)> record_outcome;
    std::function<void(observe::record)> report;
};

/// Settings of a `decider_thread`, fixed for its lifetime.
struct decider_thread_settings
{
    decision::decider_settings decider;
    /// Capacity for queued events and for the places reserved for the ends of
    /// open calls.
    std::size_t ring_capacity = 32768;
};

/// Owns all decision state: passes events from one ring to the decider and
/// carries out the actions that it returns. Never blocks on another duty.
class decider_thread
{
public:
    decider_thread(const decider_thread_settings& settings,
                   decision::routing_table_ptr table);
    decider_thread(const decider_thread&) = delete;
    decider_thread& operator=(const decider_thread&) = delete;
    ~decider_thread();

    /// Starts the thread. Called once.
    void start(action_hooks hooks);
    /// Closes the ring and joins the thread. Open requests are not finished.
    void stop();

    /// Queues a request; returns a reason when the ring is full. Never blocks.
    /// Thread-safe.
    [[nodiscard]] std::optional<core::reason>
    submit(front::submission submission);
    /// Queues an event that may be lost, such as progress; drops it when the
    /// ring is full. Never blocks. Thread-safe.
    void try_post(decision::event event);
    /// Queues an event that must not be lost; blocks while the ring is full.
    /// Called on any thread but the decider thread.
    void post(decision::event event);

    /// Number of requests taken from the ring that have not finished.
    /// Thread-safe.
    [[nodiscard]] std::size_t open_requests() const;

private:
    void run();
    void handle(front::submission&& submission);
    void handle(decision::event&& event);
    /// Updates the open calls, token counts and routing table from an event
    /// before the decider processes it.
    void update_bookkeeping(const decision::event& event);
    void step(const decision::event& event);
    void process_pending_events();

    void execute(const decision::start_call& action);
    void execute(const decision::cancel_call& action);
    void execute(const decision::claim_key& action);
    void execute(const decision::record_outcome& action);
    void execute(const decision::finish_request& action);
    void execute(const decision::record_decision& action);

    /// Reserves a place in the ring for the end of a call and returns a hook
    /// that fills it; null when the ring is full.
    [[nodiscard]] std::function<void(const decision::call_ended&)>
    make_call_ended_hook();
    [[nodiscard]] const core::backend_server*
    find_server(const core::backend_server_id& id) const;

    inbound_ring ring_;
    action_hooks hooks_;
    decision::decider decider_;
    decision::routing_table_ptr table_;
    absl::flat_hash_map<core::backend_server_id, std::size_t> server_index_;
    absl::flat_hash_map<core::request_id, exchange> exchanges_;
    absl::flat_hash_map<core::call_id, core::request_id> calls_;
    std::vector<decision::action> actions_;
    /// Events caused on this thread by carrying out an action, such as a call
    /// that could not be started.
    std::deque<decision::event> pending_events_;
    absl::Time started_at_;
    std::atomic<std::size_t> open_requests_ = 0;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::daemon

#endif
