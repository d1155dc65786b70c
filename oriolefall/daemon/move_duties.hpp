#ifndef ORIOLEFALL_DAEMON_MOVE_DUTIES_HPP
#define ORIOLEFALL_DAEMON_MOVE_DUTIES_HPP

#include "oriolefall/backend/engine_command_worker.hpp"
#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/membership/member.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/objects/move_duty.hpp"
#include "oriolefall/observe/record.hpp"

#include <absl/time/time.h>

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace oriolefall::daemon {

/// The moves of the settings in force, with the routing table that holds the
/// servers that they name.
struct moves_in_force
{
    std::vector<move::move_object> moves;
    decision::routing_table_ptr table;
};

/// Runs this instance's part in moves: a duty for each move in progress for
/// which the instance is a candidate. Reports to each duty the attainment of
/// the instance's own traffic and the load of leaving servers.
class move_duties
{
public:
    using members_source =
        std::function<std::shared_ptr<const std::vector<membership::member>>()>;

    /// `members` returns the known members and must be thread-safe.
    move_duties(platform_access access, members_source members);
    move_duties(const move_duties&) = delete;
    move_duties& operator=(const move_duties&) = delete;
    ~move_duties();

    /// Stops the duties of all moves; drops whatever is sent to this object
    /// afterwards.
    void stop();

    /// Applies new settings; drops them when the ring is full. Never blocks.
    /// Thread-safe.
    void apply(moves_in_force next);
    /// Records the end of a request; drops it when the ring is full. Never
    /// blocks. Thread-safe.
    void record(const observe::request_finished& end);

private:
    struct running_move;
    /// Identifies a move by its team and its name.
    struct move_key
    {
        core::team_name team;
        core::move_name name;
        auto operator<=>(const move_key&) const = default;
    };
    /// A move's duty requests that a command be sent to an engine.
    struct command_requested
    {
        move_key key;
        move::send_command command;
    };
    /// An event for the duty of a move.
    struct move_event
    {
        move_key key;
        move::event event;
    };
    using input = std::variant<moves_in_force, observe::request_finished,
                               command_requested, move_event>;

    void run();
    void handle(const moves_in_force& next);
    void handle(const observe::request_finished& end);
    void handle(const command_requested& requested);
    void handle(const move_event& received);
    /// Starts and stops duties, and reports attainment and server loads to
    /// them.
    void update_duties();
    void start_missing_duties();
    void stop_ended_duties();
    void report_attainment();
    void query_leaving_servers(const move::move_object& object);
    void query_load(const move_key& key, const core::backend_server& server);
    [[nodiscard]] std::unique_ptr<running_move>
    make_running_move(const move::move_object& object);
    [[nodiscard]] bool is_candidate(const move::move_object& object) const;
    [[nodiscard]] const core::backend_server*
    find_server(const core::backend_server_id& id) const;

    platform_access access_;
    members_source get_members_;
    core::bounded_ring<input> ring_;
    moves_in_force in_force_;
    std::map<core::class_name, move::class_attainment> attainment_;
    std::map<move_key, std::unique_ptr<running_move>> running_moves_;
    backend::engine_command_worker engine_commands_;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif
