#ifndef ORIOLEFALL_DAEMON_SERVE_HPP
#define ORIOLEFALL_DAEMON_SERVE_HPP

#include "oriolefall/daemon/instance_options.hpp"

namespace oriolefall::daemon {

/// Runs an instance until SIGTERM or SIGINT, then stops it gracefully: it
/// announces that it is leaving, answers until every address given to callers
/// has expired and every request has finished, and exits. A second signal or
/// the shutdown deadline ends it at once. Prints
/// `{"listening":"ADDRESS","port":PORT}` to standard output when it is ready.
/// Returns the exit status. Must be called before any other thread is started,
/// because it blocks the signals for all threads.
[[nodiscard]] int serve(const instance_options& options);

} // namespace oriolefall::daemon

#endif
