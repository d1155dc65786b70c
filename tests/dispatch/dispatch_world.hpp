#ifndef ORIOLEFALL_TESTS_DISPATCH_DISPATCH_WORLD_HPP
#define ORIOLEFALL_TESTS_DISPATCH_DISPATCH_WORLD_HPP

#include "oriolefall/dispatch/dispatcher.hpp"

#include <memory>
#include <ranges>
#include <string>
#include <vector>

namespace oriolefall::tests {

/// Settings with one route of each kind, named "safe", "unsafe", "stream" and
/// "resumable"; the streams go to the engines "engine", the others to "desk".
[[nodiscard]] routing::route_settings
some_routes(std::uint64_t version, std::uint32_t max_servers = 2);

[[nodiscard]] dispatch::server_entry
some_server(const std::string& id, const std::string& service,
            const std::string& region = "near");

/// A dispatcher with a clock, driven by hand.
class dispatch_world
{
public:
    explicit dispatch_world(const dispatch::dispatch_settings& settings = {});

    void give(const dispatch::event& event);
    void pass(absl::Duration time);
    void set_routes(const routing::route_settings& settings);
    void set_servers(const std::vector<dispatch::server_entry>& servers,
                     std::vector<core::backend_server_id> doubtful = {});
    /// A request of the route of that name arrives; gives its id.
    core::request_id arrive(const std::string& route,
                            std::vector<dispatch::prompt_part> prompt = {});

    /// The last action of this kind, or null.
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
        std::size_t found = 0;
        for (const auto& each : actions)
            found += std::holds_alternative<Action>(each) ? 1 : 0;
        return found;
    }

    dispatch::dispatcher subject;
    std::vector<dispatch::action> actions;
    absl::Time now = absl::UnixEpoch() + absl::Hours(1);

private:
    std::uint64_t next_request_ = 1;
};

} // namespace oriolefall::tests

#endif
