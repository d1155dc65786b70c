#ifndef ORIOLEFALL_DECISION_PLACEMENT_HPP
#define ORIOLEFALL_DECISION_PLACEMENT_HPP

#include "oriolefall/core/request.hpp"
#include "oriolefall/decision/decider_hooks.hpp"
#include "oriolefall/decision/decider_settings.hpp"
#include "oriolefall/decision/prefix_affinity.hpp"
#include "oriolefall/decision/server_table.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <random>

namespace oriolefall::decision {

/// What a placement is made for.
struct placement_context
{
    const core::request& request;
    route_index route = 0;
    /// The stream has to go on from what was delivered.
    bool is_resuming = false;
    /// Server at which the last call failed.
    std::optional<server_index> failed_server;
};

struct placement_choice
{
    server_index server = 0;
    double score = 0.0;
};

/// Chooses a server with a free slot: the best of a few drawn at random (the
/// power of two choices, Mitzenmacher, 2001) and the home of the prompt head.
class placement
{
public:
    placement(const decider_settings& settings, placement_score_hook score);

    /// Nothing when no server of the pool has a free slot. `far`: look among
    /// the other regions' servers.
    [[nodiscard]] std::optional<placement_choice>
    choose(const server_table& servers, const placement_context& context,
           bool is_remote, absl::Time now);
    /// Tells that `server` was sent the request.
    void on_placed(const server_table& servers, const core::request& request,
                   server_index server, absl::Time now);

private:
    [[nodiscard]] double score_of(const server_table& servers,
                                  const placement_context& context,
                                  server_index candidate,
                                  bool is_affinity_server,
                                  absl::Time now) const;

    placement_settings settings_;
    placement_score_hook score_hook_;
    prefix_history history_;
    std::mt19937_64 random_;
};

} // namespace oriolefall::decision

#endif
