#ifndef ORIOLEFALL_OBJECTS_MOVE_DUTY_HPP
#define ORIOLEFALL_OBJECTS_MOVE_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/clock.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/move/mover.hpp"
#include "oriolefall/objects/object_store.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <string>

namespace oriolefall::objects {

/// Settings of a `move_duty`, which do not change during its lifetime.
struct move_duty_settings
{
    core::team_name team;
    core::move_name name;
    core::instance_id instance;
    move::mover_settings mover;
    /// Interval at which the move and its lease are read.
    absl::Duration read_interval = absl::Seconds(2);
    /// Maximum number of queued events.
    std::size_t event_capacity = 256;
    core::clock_hook clock = core::monotonic_now;
};

/// Connect a `move_duty` to the rest of the instance. Called on the thread of
/// the duty; must not block for long.
struct move_duty_hooks
{
    /// Sends a command to a backend server, no later than its `send_before`.
    /// The answer is returned through `move_duty::try_post`.
    std::function<void(const move::send_command&)> send_command;
    /// Called when the move has a new version.
    std::function<void(const move::move_object&, std::uint64_t version)>
        move_changed;
    /// Called when what the move waits for has changed.
    std::function<void(const move::wait_status&)> waiting_changed;
};

/// Runs the `mover` of one move on a thread of its own: reads the move and its
/// lease from the platform, writes what the mover decides and forwards its
/// commands. A few instances for each move are enough; each is a candidate for
/// the lease. A slow call to the platform delays the mover as a pause of the
/// process would.
class move_duty
{
public:
    /// `store` is used on the duty's thread only. `stop_store` ends a call of
    /// it that is in progress.
    move_duty(move_duty_settings settings, object_store store,
              std::function<void()> stop_store, move_duty_hooks hooks);
    move_duty(const move_duty&) = delete;
    move_duty& operator=(const move_duty&) = delete;
    ~move_duty();

    /// Queues an answer to a command, attainment counts, or a server's load.
    /// Never blocks; returns false when the queue is full. Thread-safe.
    bool try_post(move::event event);

private:
    void run();
    void read_if_due();
    void read_move();
    void read_lease();
    void step(const move::event& event);
    void execute(const leasing::write_lease& action);
    void execute(const move::store_move& action);
    void execute(const move::send_command& action);
    void report_waiting();

    move_duty_settings settings_;
    object_store store_;
    std::function<void()> stop_store_;
    move_duty_hooks hooks_;
    move::mover mover_;
    absl::Time read_at_ = absl::InfinitePast();
    std::uint64_t reported_version_ = 0;
    move::wait_status reported_waiting_;
    core::bounded_ring<move::event> events_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif
