#ifndef ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP
#define ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP

#include "oriolefall/core/ids.hpp"

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

/// Load report that one instance sends to the others. Delivery is best-effort.
struct load_report
{
    std::vector<server_load_share> servers;
    auto operator<=>(const load_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif
