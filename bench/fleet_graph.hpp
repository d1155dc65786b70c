#ifndef ORIOLEFALL_BENCH_FLEET_GRAPH_HPP
#define ORIOLEFALL_BENCH_FLEET_GRAPH_HPP

#include <compare>
#include <cstddef>

namespace oriolefall::bench {

/// Shape of the graph of links of a settled fleet.
struct graph_shape
{
    double mean_links = 0.0;
    std::size_t most_links = 0;
    /// Links on the shortest way between the two that are farthest apart.
    std::size_t most_hops = 0;
    /// Links between regions.
    std::size_t region_links = 0;
    std::partial_ordering operator<=>(const graph_shape&) const = default;
};

/// Computed from the choice of peers alone, without running a fleet.
[[nodiscard]] graph_shape shape_of_fleet(std::size_t instances,
                                         std::size_t regions,
                                         std::size_t domains_per_region);

} // namespace oriolefall::bench

#endif
