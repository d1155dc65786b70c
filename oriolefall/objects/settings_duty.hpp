#ifndef ORIOLEFALL_OBJECTS_SETTINGS_DUTY_HPP
#define ORIOLEFALL_OBJECTS_SETTINGS_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/objects/reader.hpp"
#include "oriolefall/settings/assembly.hpp"
#include "oriolefall/settings/replica.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// A peer told the versions that it has in force.
struct peer_offer
{
    core::instance_id from;
    std::vector<settings::team_version> teams;
    auto operator<=>(const peer_offer&) const = default;
};

/// A peer asks for whole subtrees.
struct peer_fetch
{
    core::instance_id from;
    std::vector<core::team_name> teams;
    auto operator<=>(const peer_fetch&) const = default;
};

/// A peer sent objects that it has in force.
struct peer_objects
{
    std::vector<settings::tree_object> objects;
    auto operator<=>(const peer_objects&) const = default;
};

using settings_event =
    std::variant<store_news, peer_offer, peer_fetch, peer_objects>;

/// Settings as they came into force.
struct settings_in_force
{
    decision::routing_table_ptr table;
    /// Equal at instances that have the same versions in force.
    std::uint64_t digest = 0;
    std::vector<settings::team_version> teams;
    /// Moves in the tree, those that have ended included.
    std::vector<move::move_object> moves;
    /// What was left out of force, and why.
    std::vector<settings::tree_fault> faults;
};

/// What a `settings_duty` asks of the rest of the instance; called on its
/// thread, must not block long.
struct settings_duty_hooks
{
    std::function<void(const settings_in_force&)> publish;
    /// Ask a peer for whole subtrees.
    std::function<void(const core::instance_id& peer,
                       const std::vector<core::team_name>& teams)>
        fetch;
    /// Send a peer a whole subtree that it asked for.
    std::function<void(const core::instance_id& peer,
                       const settings::team_version& team,
                       const std::vector<settings::tree_object>& objects)>
        answer;
    /// Tell all peers these versions, which have just come into force.
    std::function<void(const std::vector<settings::team_version>& changed)>
        offer;
};

/// Owns the instance's copy of the settings tree on a thread of its own: takes
/// what the platform and the peers tell, never goes back, and makes the
/// routing table, with the moves under way applied. A server that leaves in a
/// move is marked as soon as the move is heard of from anyone.
class settings_duty
{
public:
    settings_duty(std::size_t capacity, settings_duty_hooks hooks);
    settings_duty(const settings_duty&) = delete;
    settings_duty& operator=(const settings_duty&) = delete;
    ~settings_duty();

    /// Blocks while there is no room. False when the duty is stopping. Any
    /// thread.
    bool tell(settings_event event);
    /// Never blocks; false when there is no room. Any thread.
    bool try_tell(settings_event event);

private:
    void run();
    void on(const store_news& event);
    void on(const peer_offer& event);
    void on(const peer_fetch& event);
    void on(const peer_objects& event);
    void on(const object_list& list);
    void on(const object_changes& changes);
    void on(const store_unreachable&);
    void offer(const std::vector<settings::tree_object>& objects);
    void publish();

    settings_duty_hooks hooks_;
    settings::replica replica_;
    core::bounded_ring<settings_event> events_;
    core::duty_thread thread_;
};

/// The routing table of a settings tree with its moves applied. Any thread.
[[nodiscard]] settings_in_force
make_settings_in_force(const settings::replica& tree);

} // namespace oriolefall::objects

#endif
