#ifndef ORIOLEFALL_DAEMON_INSTANCE_OPTIONS_HPP
#define ORIOLEFALL_DAEMON_INSTANCE_OPTIONS_HPP

#include "oriolefall/settings/deployment.hpp"
#include "oriolefall/settings/instance_settings.hpp"

#include <optional>

namespace oriolefall::daemon {

/// Start options of an instance.
struct instance_options
{
    settings::instance_settings settings;
    /// Used until the platform or a peer provides a later version. Empty when
    /// the instance waits for them to provide the first one.
    std::optional<settings::deployment> deployment;
};

} // namespace oriolefall::daemon

#endif
