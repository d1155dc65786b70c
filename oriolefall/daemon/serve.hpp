#ifndef ORIOLEFALL_DAEMON_SERVE_HPP
#define ORIOLEFALL_DAEMON_SERVE_HPP

#include "oriolefall/daemon/instance_options.hpp"

namespace oriolefall::daemon {

/// Runs an entry instance until SIGTERM or SIGINT, then stops it gracefully:
/// it is announced as leaving, answers until every address given out has
/// expired and every request has ended, and exits. A second signal or the
/// shutdown deadline ends it at once. Prints
/// `{"listening":"ADDRESS","port":PORT}` to standard output when it is ready.
/// Gives the exit status. Call it before any other thread is started.
[[nodiscard]] int serve(const instance_options& options);

} // namespace oriolefall::daemon

#endif
