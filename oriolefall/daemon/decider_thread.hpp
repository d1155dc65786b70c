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

/// How the decider's thread has its actions carried out. None may block.
struct action_hooks
{
    /// False when there is no room for the call.
    std::function<bool(backend::call_task)> start_call;
    std::function<void(core::call_id)> cancel_call;
    /// Answered by a `key_claimed` event. False when there is no room.
    std::function<bool(const decision::claim_key&)> claim_key;
    std::function<void(const decision::record_outcome&)> record_outcome;
    std::function<void(observe::record)> tell;
};

/// What is fixed for the life of a `decider_thread`.
struct decider_thread_settings
{
    decision::decider_settings decider;
    /// Events that wait for the decider, and places kept for endings.
    std::size_t ring_capacity = 32768;
};

/// Owns all decision state: takes events from one ring, asks the decider and
/// has its actions carried out. It never blocks on another duty.
class decider_thread
{
public:
    decider_thread(const decider_thread_settings& settings,
                   decision::routing_table_ptr table);
    decider_thread(const decider_thread&) = delete;
    decider_thread& operator=(const decider_thread&) = delete;
    ~decider_thread();

    /// Starts the thread. Once.
    void start(action_hooks hooks);
    /// Closes the ring and waits for the thread. What is open is not ended.
    void stop();

    /// Hands over a request; a reason when there is no room. Never blocks.
    /// Any thread.
    [[nodiscard]] std::optional<core::reason>
    submit(front::submission submission);
    /// Tells what may be lost, such as progress. Never blocks. Any thread.
    void hint(decision::event event);
    /// Tells what must not be lost; waits for room. Any other thread.
    void tell(decision::event event);

    /// Requests that were taken and have not ended. Any thread.
    [[nodiscard]] std::size_t open_requests() const;

private:
    void run();
    void take(front::submission&& submission);
    void take(decision::event&& event);
    void before(const decision::event& event);
    void step(const decision::event& event);
    void drain_own_events();

    void act(const decision::start_call& action);
    void act(const decision::cancel_call& action);
    void act(const decision::claim_key& action);
    void act(const decision::record_outcome& action);
    void act(const decision::finish_request& action);
    void act(const decision::record_decision& action);

    /// A hook that puts the end of a call into the place kept for it; nothing
    /// when none is left.
    [[nodiscard]] std::function<void(const decision::call_ended&)> make_ended();
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
    /// Events that carrying out an action gave at once.
    std::deque<decision::event> own_events_;
    absl::Time started_;
    std::atomic<std::size_t> open_ = 0;
    std::optional<core::duty_thread> thread_;
};

} // namespace oriolefall::daemon

#endif
