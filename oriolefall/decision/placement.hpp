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

/// The request for which a server is chosen.
struct placement_context
{
    const core::request& request;
    route_index route = 0;
    /// The server has to resume the stream after the delivered tokens.
    bool is_resuming = false;
    /// Server at which the previous call failed.
    std::optional<server_index> failed_server;
};

struct placement_choice
{
    server_index server = 0;
    double score = 0.0;
};

/// Chooses a server with a free slot: the best of a few drawn at random (the
/// power of two choices, Mitzenmacher, 2001) and the affinity server of the
/// prompt prefix.
class placement
{
public:
    placement(const decider_settings& settings, placement_score_hook score);

    /// Chooses among the local servers, or among those of other regions if
    /// `is_remote`. Empty if none of them has a free slot.
    [[nodiscard]] std::optional<placement_choice>
    choose(const server_table& servers, const placement_context& context,
           bool is_remote, absl::Time now);
    /// Records that the request was sent to `server`.
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
