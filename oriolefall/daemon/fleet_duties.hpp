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

/// Applies new settings. Called on the settings thread; may block it.
using apply_settings_hook =
    std::function<void(const objects::settings_in_force&)>;

/// The duties by which an instance takes part in the fleet: the control duty
/// with the peer links, the settings duty, and, where there is a platform, the
/// readers of its list of instances and of its settings tree.
class fleet_duties
{
public:
    /// `access` is empty when there is no platform.
    fleet_duties(const settings::instance_settings& settings,
                 std::uint64_t incarnation,
                 const std::optional<platform_access>& access,
                 record_sink report, apply_settings_hook apply_settings);
    fleet_duties(const fleet_duties&) = delete;
    fleet_duties& operator=(const fleet_duties&) = delete;
    ~fleet_duties();

    /// `callers` is the endpoint that callers connect to. False when the
    /// address for peers cannot be bound.
    [[nodiscard]] bool start(const core::endpoint& callers);
    [[nodiscard]] std::uint16_t port() const;
    /// Announces to the platform and the peers that this instance is leaving.
    /// Thread-safe.
    void leave();

    /// Chooses the instances that a caller may use. Thread-safe.
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
    void apply(const objects::settings_in_force& next);
    /// Must run before the control duty starts, because that duty notifies the
    /// platform duties of their reader role.
    void make_platform_duties();

    settings::instance_settings settings_;
    std::uint64_t incarnation_;
    std::optional<platform_access> access_;
    record_sink report_;
    core::latest_value<std::vector<membership::member>> members_;
    apply_settings_hook apply_settings_;
    core::latest_value<objects::settings_in_force> in_force_;
    objects::settings_duty settings_duty_;
    std::unique_ptr<settings_reader> settings_reader_;
    std::unique_ptr<peer::control_duty> control_duty_;
    std::unique_ptr<registrar> registrar_;
};

} // namespace oriolefall::daemon

#endif
