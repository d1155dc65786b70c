#ifndef ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP
#define ORIOLEFALL_DISPATCH_SERVICE_POOL_HPP

#include "oriolefall/dispatch/fleet_load.hpp"
#include "oriolefall/dispatch/lane_meter.hpp"
#include "oriolefall/dispatch/lane_plan.hpp"
#include "oriolefall/dispatch/placement.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolefall::dispatch {

/// How a pool divides its engines.
struct pool_settings
{
    placement_settings placement;
    lane_settings lanes;
    /// Share of an engine's reading and of its slots that a lane is planned
    /// to use.
    double planned_reading = 0.6;
    double planned_slots = 0.5;
    absl::Duration plan_interval = absl::Milliseconds(250);
    std::partial_ordering operator<=>(const pool_settings&) const = default;
};

/// The backend servers of one service and the lanes of its requests. One
/// thread.
class service_pool
{
public:
    explicit service_pool(const pool_settings& settings);

    /// The servers, which must outlive the next call.
    void set_servers(std::vector<server_state*> servers);
    [[nodiscard]] const std::vector<server_state*>& servers() const;

    [[nodiscard]] lane_meter& lane(std::uint64_t key, absl::Duration goal);
    /// Divides the engines anew when that is due.
    void plan(absl::Time now, const fleet_load& others);
    /// All servers as requests of the lane with this prompt see them.
    [[nodiscard]] std::vector<server_view>
    views(std::uint64_t lane, std::span<const prompt_part> prompt,
          const fleet_load& others) const;
    void report_lanes(absl::Time now, std::vector<lane_share>& out) const;
    /// Mean slowness of the servers; 1 without any.
    [[nodiscard]] double mean_slowness() const;

private:
    struct lane_state
    {
        absl::Duration goal;
        lane_meter meter;
    };
    [[nodiscard]] lane_need need_of(absl::Time now, std::uint64_t key,
                                    const lane_state& lane,
                                    const fleet_load& others) const;
    void rank_homes(std::vector<server_view>& views,
                    std::span<const prompt_part> prompt) const;

    pool_settings settings_;
    /// In an order that all instances share.
    std::vector<server_state*> servers_;
    std::map<std::uint64_t, lane_state> lanes_;
    std::vector<lane_part> parts_;
    absl::Time planned_at_ = absl::InfinitePast();
};

} // namespace oriolefall::dispatch

#endif
