#ifndef ORIOLEFALL_DAEMON_PLATFORM_CLIENT_HPP
#define ORIOLEFALL_DAEMON_PLATFORM_CLIENT_HPP

#include "oriolefall/objects/client.hpp"
#include "oriolefall/observe/record.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::daemon {

/// Takes records for metrics and the log; must not block.
using tell_hook = std::function<void(observe::record)>;

/// How the duties of one instance reach the platform.
struct platform_access
{
    core::endpoint endpoint;
    core::instance_id instance;
    /// Told apart from earlier starts of the same instance.
    std::uint64_t incarnation = 0;
    tell_hook tell;
};

/// Settings of the client of one duty; its calls are counted. Any thread.
[[nodiscard]] objects::client_settings
client_settings_of(const platform_access& access, const std::string& duty);

} // namespace oriolefall::daemon

#endif
