#ifndef ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP
#define ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <compare>
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

/// Load report that one instance sends to the others. Delivery is best-effort.
struct load_report
{
    std::vector<server_load_share> servers;
    std::vector<lane_share> lanes;
    auto operator<=>(const load_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif
