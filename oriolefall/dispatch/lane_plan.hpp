#ifndef ORIOLEFALL_DISPATCH_LANE_PLAN_HPP
#define ORIOLEFALL_DISPATCH_LANE_PLAN_HPP

#include "oriolefall/routing/route_settings.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// Names the requests of one service that have the same goal: they share a
/// lane, a part of the service's engines. The same on all instances.
[[nodiscard]] std::uint64_t lane_key(const routing::service_name& service,
                                     absl::Duration goal);

/// What the requests of one lane need.
struct lane_need
{
    std::uint64_t lane = 0;
    absl::Duration goal;
    /// In engines.
    double engines = 0;
    std::partial_ordering operator<=>(const lane_need&) const = default;
};

/// The part of a service's engines, in an order that all instances share,
/// that one lane uses. 0 to 1.
struct lane_part
{
    std::uint64_t lane = 0;
    double begin = 0;
    double end = 1;
    std::partial_ordering operator<=>(const lane_part&) const = default;
};

struct lane_settings
{
    /// Share of the engines that is left for the least urgent lane at least.
    double least_for_last = 0.35;
    /// Part of an engine that must lie in a lane for the engine to be used.
    double least_overlap = 0.3;
    std::partial_ordering operator<=>(const lane_settings&) const = default;
};

/// Divides `engines` among lanes by their needs, the tightest goal first:
/// long prompts hold up whatever runs beside them, so that requests with a
/// tight goal get engines of their own. What nobody needs is shared out in
/// proportion. Needs are of the whole fleet.
[[nodiscard]] std::vector<lane_part> plan_lanes(std::vector<lane_need> needs,
                                                std::size_t engines,
                                                const lane_settings& settings);

/// True when the engine at `place` of `engines` lies in the part.
[[nodiscard]] bool lies_in(const lane_part& part, std::size_t place,
                           std::size_t engines, const lane_settings& settings);

} // namespace oriolefall::dispatch

#endif
