#ifndef ORIOLEFALL_DAEMON_PLATFORM_CLIENT_HPP
#define ORIOLEFALL_DAEMON_PLATFORM_CLIENT_HPP

#include "oriolefall/objects/client.hpp"
#include "oriolefall/observe/record.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace oriolefall::daemon {

/// Receives records for metrics and the log; must not block.
using record_sink = std::function<void(observe::record)>;

/// How the duties of one instance reach the platform.
struct platform_access
{
    core::endpoint endpoint;
    core::instance_id instance;
    /// Distinguishes this start of the instance from earlier ones.
    std::uint64_t incarnation = 0;
    record_sink report;
};

/// Makes the settings of the object store client of one duty, with a hook that
/// counts its calls. Thread-safe.
[[nodiscard]] objects::client_settings
make_client_settings(const platform_access& access, const std::string& duty);

} // namespace oriolefall::daemon

#endif
