#ifndef ORIOLEFALL_DAEMON_INSTANCE_OPTIONS_HPP
#define ORIOLEFALL_DAEMON_INSTANCE_OPTIONS_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"

#include <optional>

namespace oriolefall::daemon {

/// What an entry instance is started with.
struct instance_options
{
    settings::instance_settings settings;
    /// Used until the platform or a peer gives a later one; nothing when the
    /// instance is to wait for them.
    std::optional<settings::deployment> deployment;
};

} // namespace oriolefall::daemon

#endif
