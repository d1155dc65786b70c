#ifndef ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP
#define ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP

#include "oriolefall/dispatch/engine_lanes.hpp"
#include "oriolefall/dispatch/hot_prompts.hpp"
#include "oriolefall/dispatch/peer_load.hpp"
#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/prompt_lengths.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace oriolefall::dispatch {

/// Mean, minimum and maximum over the servers of a service.
struct value_range
{
    double mean = 0;
    double min = 0;
    double max = 0;
    std::partial_ordering operator<=>(const value_range&) const = default;
};

/// What is learned of the servers of one service.
struct capacity_summary
{
    std::size_t servers = 0;
    value_range call_limits;
    value_range time_scales;
    std::partial_ordering operator<=>(const capacity_summary&) const = default;
};

/// What is learned of the servers of a service, for the metrics.
struct capacity_record
{
    routing::service_name service;
    capacity_summary summary;
    std::partial_ordering operator<=>(const capacity_record&) const = default;
};

/// The backend servers of one service. Not thread-safe.
class service_pool
{
public:
    service_pool(const lane_settings& lanes,
                 const placement_settings& placement);

    /// The servers must stay valid until the next call of this function.
    void set_servers(std::vector<server_state*> servers);
    engine_lanes& lanes();

    prompt_lengths& lengths();
    /// Records the prompt of a request for the service.
    void record_prompt(absl::Time now, std::span<const prompt_part> prompt);
    /// True once the service uses capacity learning; it does not stop.
    [[nodiscard]] bool learns_capacity() const;
    void set_learns_capacity();
    [[nodiscard]] capacity_summary summarize_capacity(absl::Time now) const;

    /// True if `accepts` holds for one of the servers.
    [[nodiscard]] bool
    has_server(const std::function<bool(const server_state&)>& accepts) const;
    /// Views of all servers for the placement of a request. `random` chooses
    /// among the servers that are equally good for a prompt.
    [[nodiscard]] std::vector<server_view> views(const placement_query& query,
                                                 const peer_load& peers,
                                                 std::uint64_t random) const;
    /// Fraction of the servers with a limit that take a call from this instance
    /// now, among those to which it may send at all; 1 if there are none.
    [[nodiscard]] double limited_availability(absl::Time now) const;
    /// Mean slowness of the servers; 1 if there are none.
    [[nodiscard]] double mean_slowness() const;
    /// Mean slow part of the time scales of the servers; 1 if there are none.
    [[nodiscard]] double mean_slow_scale(absl::Time now) const;

private:
    /// Number of engines that take the requests with this shared part.
    [[nodiscard]] std::size_t
    spread_of(std::uint64_t key, const std::vector<server_view>& views) const;

    struct pooled_server
    {
        server_state* state = nullptr;
        double lane_position = 0;
    };

    placement_settings placement_;
    engine_lanes lanes_;
    std::vector<pooled_server> servers_;
    prompt_lengths lengths_;
    hot_prompts hot_prompts_;
    bool learns_capacity_ = false;
};

} // namespace oriolefall::dispatch

#endif
