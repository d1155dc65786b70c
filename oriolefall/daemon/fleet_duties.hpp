#ifndef ORIOLEFALL_DAEMON_FLEET_DUTIES_HPP
#define ORIOLEFALL_DAEMON_FLEET_DUTIES_HPP

#include "oriolefall/core/latest_value.hpp"
#include "oriolefall/daemon/platform_client.hpp"
#include "oriolefall/daemon/registrar.hpp"
#include "oriolefall/daemon/settings_reader.hpp"
#include "oriolefall/membership/entry_choice.hpp"
#include "oriolefall/objects/settings_duty.hpp"
#include "oriolefall/peer/control_duty.hpp"
#include "oriolefall/settings/instance_settings.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace oriolefall::daemon {

/// Puts a routing table in force; called on the settings thread, may wait.
using applied_hook = std::function<void(const objects::settings_in_force&)>;

/// What one instance does to take part in the fleet: the control duty with
/// its links, the settings in force, and, where there is a platform, its
/// list of instances and its settings tree.
class fleet_duties
{
public:
    /// `access`: nothing when there is no platform.
    fleet_duties(const settings::instance_settings& settings,
                 std::uint64_t incarnation,
                 const std::optional<platform_access>& access, tell_hook tell,
                 applied_hook applied);
    fleet_duties(const fleet_duties&) = delete;
    fleet_duties& operator=(const fleet_duties&) = delete;
    ~fleet_duties();

    /// `callers`: where callers connect. False when the address for other
    /// instances cannot be listened at.
    [[nodiscard]] bool start(const core::endpoint& callers);
    [[nodiscard]] std::uint16_t port() const;
    /// Tells the platform and the peers that this instance leaves. Any thread.
    void leave();

    /// Instances that a caller may use. Any thread.
    [[nodiscard]] membership::entry_choice
    entry(const core::workspace_id& workspace) const;
    [[nodiscard]] peer::members_ptr members() const;
    [[nodiscard]] std::shared_ptr<const objects::settings_in_force>
    settings_in_force() const;
    [[nodiscard]] peer::link_counts counts() const;

private:
    [[nodiscard]] peer::control_settings
    control_settings(const core::endpoint& callers) const;
    [[nodiscard]] peer::control_hooks control_hooks();
    [[nodiscard]] objects::settings_duty_hooks settings_hooks();
    void put_in_force(const objects::settings_in_force& next);
    /// Before the control duty starts, which tells them of their role.
    void make_platform_duties();

    settings::instance_settings settings_;
    std::uint64_t incarnation_;
    std::optional<platform_access> access_;
    tell_hook tell_;
    core::latest_value<std::vector<membership::member>> members_;
    applied_hook applied_;
    core::latest_value<objects::settings_in_force> in_force_;
    objects::settings_duty settings_duty_;
    std::unique_ptr<settings_reader> reader_;
    std::unique_ptr<peer::control_duty> control_;
    std::unique_ptr<registrar> registrar_;
};

} // namespace oriolefall::daemon

#endif
