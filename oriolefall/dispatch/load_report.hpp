#ifndef ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP
#define ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace oriolefall::dispatch {

/// The load that one instance puts on one backend server.
struct server_load_share
{
    core::backend_server_id server;
    std::uint32_t calls = 0;
    /// Uncached prompt tokens of these calls whose prefill is not finished.
    std::uint32_t backlog_tokens = 0;
    auto operator<=>(const server_load_share&) const = default;
};

/// Share of the engines of a service that the sender sets aside for streams
/// with short pauses; see `engine_lanes`.
struct lane_share
{
    routing::service_name service;
    std::uint32_t permille = 0;
    auto operator<=>(const lane_share&) const = default;
};

/// Maximum number of observations in one load report.
constexpr std::size_t max_server_observations = 24;

/// What the sender itself has observed of a backend server of late.
struct server_observation
{
    core::backend_server_id server;
    /// Calls of all instances that the server reported.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// 0 if the sender has not observed it of late.
    std::uint32_t time_scale_permille = 0;
    std::uint32_t call_limit = 0;
    /// Time since the server reported, in ms.
    std::uint32_t age_ms = 0;
    auto operator<=>(const server_observation&) const = default;
};

/// Load report that one instance sends to the others. Delivery is best-effort.
struct load_report
{
    std::vector<server_load_share> servers;
    std::vector<lane_share> lanes;
    /// At most `max_server_observations`, the newest first.
    std::vector<server_observation> observations = {};
    auto operator<=>(const load_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif
