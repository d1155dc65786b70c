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

/// Moves and the servers that they name, as the settings in force have them.
struct moves_in_force
{
    std::vector<move::move_object> moves;
    decision::routing_table_ptr table;
};

/// The part of this instance in moves: a duty for each move under way for
/// which it is a candidate, told of the figures of its own traffic and of the
/// load of leaving servers.
class move_duties
{
public:
    using members_hook =
        std::function<std::shared_ptr<const std::vector<membership::member>>()>;

    /// `members` gives the known members; any thread may call it.
    move_duties(platform_access access, members_hook members);
    move_duties(const move_duties&) = delete;
    move_duties& operator=(const move_duties&) = delete;
    ~move_duties();

    /// Ends all moves' duties here; what it is told from then on is dropped.
    void stop();

    /// The settings in force have changed. Never blocks. Any thread.
    void apply(moves_in_force next);
    /// A request ended. Never blocks; it may be lost. Any thread.
    void note(const observe::request_finished& end);

private:
    struct running_move;
    /// A move's name with its team's.
    struct move_key
    {
        core::team_name team;
        core::move_name name;
        auto operator<=>(const move_key&) const = default;
    };
    /// A move's duty wants an order sent.
    struct order_wanted
    {
        move_key key;
        move::send_command order;
    };
    /// Something for a move's duty.
    struct move_told
    {
        move_key key;
        move::event event;
    };
    using input = std::variant<moves_in_force, observe::request_finished,
                               order_wanted, move_told>;

    void run();
    void take(const moves_in_force& next);
    void take(const observe::request_finished& end);
    void take(const order_wanted& wanted);
    void take(const move_told& told);
    /// Starts and ends duties, and tells them what has been seen.
    void make_round();
    void start_missing();
    void stop_ended();
    void report_figures();
    void ask_leaving_servers(const move::move_object& under_way);
    void ask(const move_key& key, const core::backend_server& server);
    [[nodiscard]] std::unique_ptr<running_move>
    make_running(const move::move_object& some);
    [[nodiscard]] bool is_candidate(const move::move_object& some) const;
    [[nodiscard]] const core::backend_server*
    find_server(const core::backend_server_id& id) const;

    platform_access access_;
    members_hook members_;
    core::bounded_ring<input> ring_;
    moves_in_force in_force_;
    std::map<core::class_name, move::class_attainment> figures_;
    std::map<move_key, std::unique_ptr<running_move>> running_;
    backend::engine_command_worker orders_;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif
