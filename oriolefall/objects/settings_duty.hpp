#ifndef ORIOLEFALL_OBJECTS_SETTINGS_DUTY_HPP
#define ORIOLEFALL_OBJECTS_SETTINGS_DUTY_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/move/move_object.hpp"
#include "oriolefall/objects/store_watcher.hpp"
#include "oriolefall/settings/assembly.hpp"
#include "oriolefall/settings/replica.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace oriolefall::objects {

/// Versions that a peer reported to have in force.
struct peer_versions
{
    core::instance_id from;
    std::vector<settings::team_version> teams;
    auto operator<=>(const peer_versions&) const = default;
};

/// A peer requests whole subtrees.
struct peer_subtree_request
{
    core::instance_id from;
    std::vector<core::team_name> teams;
    auto operator<=>(const peer_subtree_request&) const = default;
};

/// Objects that a peer sent, which it has in force.
struct peer_objects
{
    std::vector<settings::tree_object> objects;
    auto operator<=>(const peer_objects&) const = default;
};

using settings_event = std::variant<store_update, peer_versions,
                                    peer_subtree_request, peer_objects>;

/// Settings that came into force together.
struct settings_in_force
{
    decision::routing_table_ptr table;
    /// Equal on instances that have the same versions in force.
    std::uint64_t digest = 0;
    std::vector<settings::team_version> teams;
    /// Moves in the tree, including those that have ended.
    std::vector<move::move_object> moves;
    /// Parts that were left out, and why.
    std::vector<settings::tree_fault> faults;
};

/// Connect a `settings_duty` to the rest of the instance. Called on its thread;
/// must not block for long.
struct settings_duty_hooks
{
    /// Puts settings in force at this instance.
    std::function<void(const settings_in_force&)> publish;
    /// Requests whole subtrees from a peer.
    std::function<void(const core::instance_id& peer,
                       const std::vector<core::team_name>& teams)>
        request_subtrees;
    /// Sends a peer a whole subtree that it requested.
    std::function<void(const core::instance_id& peer,
                       const settings::team_version& team,
                       const std::vector<settings::tree_object>& objects)>
        send_subtree;
    /// Announces to all peers the versions that have just come into force.
    std::function<void(const std::vector<settings::team_version>& changed)>
        announce_versions;
};

/// Owns the instance's replica of the settings tree on a thread of its own. It
/// merges what the platform and the peers send, never replaces a version by an
/// older one, and builds the routing table with the moves in progress applied.
/// A server that leaves in a move is marked as leaving as soon as the move is
/// received from any source.
class settings_duty
{
public:
    settings_duty(std::size_t capacity, settings_duty_hooks hooks);
    settings_duty(const settings_duty&) = delete;
    settings_duty& operator=(const settings_duty&) = delete;
    ~settings_duty();

    /// Blocks while the queue is full. Returns false when the duty is stopping.
    /// Thread-safe.
    bool post(settings_event event);
    /// Never blocks; returns false when the queue is full. Thread-safe.
    bool try_post(settings_event event);

private:
    void run();
    void on(const store_update& event);
    void on(const peer_versions& event);
    void on(const peer_subtree_request& event);
    void on(const peer_objects& event);
    void on(const object_list& list);
    void on(const object_changes& changes);
    void on(const store_unreachable&);
    void apply(const std::vector<settings::tree_object>& objects);
    void publish();

    settings_duty_hooks hooks_;
    settings::replica replica_;
    core::bounded_ring<settings_event> events_;
    core::duty_thread thread_;
};

/// Builds the routing table of a settings tree with its moves applied.
/// Thread-safe.
[[nodiscard]] settings_in_force
make_settings_in_force(const settings::replica& tree);

} // namespace oriolefall::objects

#endif
