#ifndef ORIOLEFALL_ROUTER_RUN_HPP
#define ORIOLEFALL_ROUTER_RUN_HPP

#include "oriolefall/router/router_settings.hpp"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace oriolefall::router {

/// What came of reading the settings again.
struct reload_result
{
    /// For the log.
    std::string outcome;
    /// The budget of repeats that is in force from here on; nothing when it
    /// stays.
    std::optional<dispatch::retry_budget_settings> repeats;
    std::partial_ordering operator<=>(const reload_result&) const = default;
};

/// Called at SIGHUP: reads the settings again.
using reload_hook = std::function<reload_result()>;

/// Runs one instance until SIGTERM or SIGINT and stops it gracefully. Gives
/// the exit status.
[[nodiscard]] int run(const router_settings& settings,
                      const router_hooks& hooks, const reload_hook& reload);

} // namespace oriolefall::router

#endif
