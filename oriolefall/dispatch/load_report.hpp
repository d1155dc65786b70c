#ifndef ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP
#define ORIOLEFALL_DISPATCH_LOAD_REPORT_HPP

#include "oriolefall/core/ids.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace oriolefall::dispatch {

/// What one instance has under way at one backend server.
struct server_share
{
    core::backend_server_id server;
    std::uint32_t calls = 0;
    /// Prompt tokens that the server has still to read for it.
    std::uint32_t backlog_tokens = 0;
    auto operator<=>(const server_share&) const = default;
};

/// What one instance tells the others of its load. May be lost.
struct load_report
{
    std::vector<server_share> servers;
    auto operator<=>(const load_report&) const = default;
};

} // namespace oriolefall::dispatch

#endif
