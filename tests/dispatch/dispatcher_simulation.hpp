#ifndef ORIOLEFALL_TESTS_DISPATCH_DISPATCHER_SIMULATION_HPP
#define ORIOLEFALL_TESTS_DISPATCH_DISPATCHER_SIMULATION_HPP

#include "oriolefall/dispatch/dispatcher.hpp"

#include <memory>
#include <ranges>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Makes settings with the routes "safe" (idempotent), "unsafe", "stream" and
/// "resumable". The two streams go to the engines of the service "engine", the
/// others to the plain service "desk".
[[nodiscard]] routing::route_settings
make_route_settings(std::uint64_t version, std::uint32_t max_servers = 2);

[[nodiscard]] dispatch::server_entry
make_server_entry(const std::string& id, const std::string& service,
                  const std::string& region = "near");

/// A dispatcher with a simulated clock that a test advances.
class dispatcher_simulation
{
public:
    explicit dispatcher_simulation(
        const dispatch::dispatch_settings& settings = {});

    /// Passes the event to the dispatcher and appends its actions.
    void step(const dispatch::event& event);
    /// Advances the clock and passes the ticks that become due.
    void advance(absl::Duration time);
    void set_routes(const routing::route_settings& settings);
    void set_servers(const std::vector<dispatch::server_entry>& servers,
                     std::vector<core::backend_server_id> stale = {});
    /// Passes the arrival of a request for the named route; returns its ID.
    core::request_id
    receive_request(const std::string& route,
                    std::vector<dispatch::prompt_part> prompt = {});

    /// The most recent action of this type, or null.
    template <class Action>
    [[nodiscard]] const Action* last() const
    {
        for (const auto& each : std::views::reverse(actions))
            if (const auto* found = std::get_if<Action>(&each))
                return found;
        return nullptr;
    }

    template <class Action>
    [[nodiscard]] std::size_t count() const
    {
        std::size_t total = 0;
        for (const auto& each : actions)
            total += std::holds_alternative<Action>(each) ? 1 : 0;
        return total;
    }

    dispatch::dispatcher subject;
    std::vector<dispatch::action> actions;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);

private:
    std::uint64_t next_request_id_ = 1;
};

} // namespace oriolefall::tests

#endif
