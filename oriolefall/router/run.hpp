#ifndef ORIOLEFALL_ROUTER_RUN_HPP
#define ORIOLEFALL_ROUTER_RUN_HPP

#include "oriolefall/router/router_settings.hpp"

#include <compare>
#include <functional>
#include <optional>
#include <string>

namespace oriolefall::router {

/// Result of reloading the settings.
struct reload_result
{
    /// Description for the log.
    std::string outcome;
    /// New retry budget; empty if the current one stays in force.
    std::optional<dispatch::retry_budget_settings> retry_budget;
    std::partial_ordering operator<=>(const reload_result&) const = default;
};

/// Reloads the settings; called on SIGHUP.
using reload_hook = std::function<reload_result()>;

/// Runs one instance until SIGTERM or SIGINT, then shuts it down gracefully.
/// Returns the exit status.
[[nodiscard]] int run(const router_settings& settings,
                      const router_hooks& hooks, const reload_hook& reload);

} // namespace oriolefall::router

#endif
