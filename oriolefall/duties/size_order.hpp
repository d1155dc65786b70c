#ifndef ORIOLEFALL_DUTIES_SIZE_ORDER_HPP
#define ORIOLEFALL_DUTIES_SIZE_ORDER_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/routing/route_settings.hpp"

#include <compare>
#include <cstdint>

namespace oriolefall::duties {

/// Orders a number of servers of one kind for a service in a failure domain.
struct size_order
{
    routing::service_name service;
    core::failure_domain_name failure_domain;
    std::uint32_t servers = 0;
    /// Cheaper servers that the provider may take away at short notice.
    bool is_spot = false;
    auto operator<=>(const size_order&) const = default;
};

} // namespace oriolefall::duties

#endif
