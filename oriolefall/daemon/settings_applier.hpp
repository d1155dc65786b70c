#ifndef ORIOLEFALL_DAEMON_SETTINGS_APPLIER_HPP
#define ORIOLEFALL_DAEMON_SETTINGS_APPLIER_HPP

#include "oriolefall/core/bounded_ring.hpp"
#include "oriolefall/core/duty_thread.hpp"
#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/decision/event.hpp"
#include "oriolefall/settings/replica.hpp"
#include "oriolefall/settings/tree_object.hpp"

#include <functional>
#include <string>
#include <vector>

namespace oriolefall::daemon {

using versions = std::vector<settings::path_version>;

/// The thread that makes routing tables of the settings tree. What it has put
/// in force never goes back to an older version.
class settings_applier
{
public:
    using applied_hook = std::function<void(decision::routing_table_ptr)>;

    /// `applied` is called on the applier's thread and may wait there.
    settings_applier(applied_hook applied, tell_hook tell);
    settings_applier(const settings_applier&) = delete;
    settings_applier& operator=(const settings_applier&) = delete;
    ~settings_applier();

    /// Objects in newer versions. Never blocks; false when there is no room.
    /// Any thread.
    bool give(std::vector<settings::tree_object> objects);

    /// Versions of the objects in force. Any thread.
    [[nodiscard]] std::shared_ptr<const versions> in_force() const;

private:
    void run();
    void apply();
    void report(const settings::replica& held, std::size_t faults);

    applied_hook applied_;
    tell_hook tell_;
    core::bounded_ring<std::vector<settings::tree_object>> ring_;
    settings::replica replica_;
    core::latest_value<versions> in_force_;
    core::duty_thread thread_;
};

} // namespace oriolefall::daemon

#endif
