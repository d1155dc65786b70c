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

/// Fixed for the life of a `move_duty`.
struct move_duty_settings
{
    core::team_name team;
    core::move_name name;
    core::instance_id instance;
    move::mover_settings mover;
    /// How often the move and its lease are read.
    absl::Duration read_interval = absl::Seconds(2);
    /// Events that wait at most.
    std::size_t capacity = 256;
    core::clock_hook clock = core::monotonic_now;
};

/// What a `move_duty` asks of the rest of the instance; called on its thread,
/// must not block long.
struct move_duty_hooks
{
    /// Sends an order to a backend server, not after its `send_before`; the
    /// answer comes back through `move_duty::tell`.
    std::function<void(const move::send_command&)> send_order;
    /// The move has a new version.
    std::function<void(const move::move_object&, std::uint64_t version)>
        changed;
    /// What the move waits for has changed.
    std::function<void(const move::wait_status&)> waits;
};

/// Runs one move's `mover` on a thread of its own: reads the move and its
/// lease from the platform, writes what the mover decides, hands its orders
/// on. A few instances for each move are enough; each is a candidate for the
/// lease. A call to the platform that takes long is to the mover what a pause
/// of the process is.
class move_duty
{
public:
    /// `store` is used on the duty's thread only; `stop_store` ends a call
    /// that is under way.
    move_duty(move_duty_settings settings, object_store store,
              std::function<void()> stop_store, move_duty_hooks hooks);
    move_duty(const move_duty&) = delete;
    move_duty& operator=(const move_duty&) = delete;
    ~move_duty();

    /// Tells an answer to an order, figures, or a server's load. Never blocks;
    /// false when there is no room. Any thread.
    bool tell(move::event event);

private:
    void run();
    void read_if_due();
    void read_move();
    void read_lease();
    void step(const move::event& event);
    void carry_out(const move::write_lease& action);
    void carry_out(const move::store_move& action);
    void carry_out(const move::send_command& action);
    void report_waiting();

    move_duty_settings settings_;
    object_store store_;
    std::function<void()> stop_store_;
    move_duty_hooks hooks_;
    move::mover mover_;
    absl::Time read_at_ = absl::InfinitePast();
    std::uint64_t version_told_ = 0;
    move::wait_status waiting_told_;
    core::bounded_ring<move::event> events_;
    core::duty_thread thread_;
};

} // namespace oriolefall::objects

#endif
