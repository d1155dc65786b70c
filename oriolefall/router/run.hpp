#ifndef ORIOLEFALL_ROUTER_RUN_HPP
#define ORIOLEFALL_ROUTER_RUN_HPP

#include "oriolefall/router/router_settings.hpp"

#include <functional>
#include <string>

namespace oriolefall::router {

/// Called at SIGHUP: reads the settings again and says what came of it, for
/// the log.
using reload_hook = std::function<std::string()>;

/// Runs one instance until SIGTERM or SIGINT and stops it gracefully. Gives
/// the exit status.
[[nodiscard]] int run(const router_settings& settings,
                      const router_hooks& hooks, const reload_hook& reload);

} // namespace oriolefall::router

#endif
