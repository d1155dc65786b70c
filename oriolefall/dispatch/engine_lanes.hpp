#ifndef ORIOLEFALL_DISPATCH_ENGINE_LANES_HPP
#define ORIOLEFALL_DISPATCH_ENGINE_LANES_HPP

#include "oriolefall/core/ids.hpp"
#include "oriolefall/routing/route_table.hpp"

#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// The two kinds of streams that hinder each other at an engine: while it reads
/// a prompt in chunks, all its streams make events several times more slowly.
enum class stream_lane : std::uint8_t
{
    short_pauses, ///< the pauses between events must be short
    long_prompts  ///< all others
};

struct lane_settings
{
    /// Minimum number of engines that are divided.
    std::size_t min_engines = 24;
    /// A route belongs to the lane of short pauses when its gap target is at
    /// most this multiple of the shortest one of the service.
    double short_gap_factor = 1.3;
    /// The longest gap target has to be this multiple of the shortest one.
    double min_gap_contrast = 1.5;
    /// Duration of the slowest steps of an engine that reads prompts, in ms.
    /// Lanes are of use where an event of such steps exceeds the gap target.
    double prefill_step_ms = 70;
    /// Share of the engines that have short pauses: the initial value and the
    /// bounds.
    double initial_share = 0.25;
    double min_share = 0.1;
    double max_share = 0.6;
    /// The lane is larger by this factor than its share of the work requires.
    double share_factor = 1.5;
    /// Weight of this instance's own work against the shares of its peers: each
    /// instance sees a small part of the requests only.
    double own_weight = 0.2;
    /// Prefill throughput by which the work of a prompt is estimated, in tokens
    /// per ms.
    double prefill_tokens_per_ms = 100;
    /// A lane is short of engines when first events take longer than this
    /// fraction of their latency target.
    double relaxed_first_event = 0.3;
    /// Weight of the newest first event in the moving average of that fraction.
    double first_event_weight = 0.3;
    /// Time constant of the moving average of the work in each lane.
    absl::Duration decay_time = absl::Seconds(6);
    /// Time of a stream before any has finished, in ms, and weight of the
    /// newest one in the moving average.
    double initial_stream_ms = 30;
    double stream_weight = 0.05;
    /// Work in ms that counts as done in the initial proportion.
    double initial_work_ms = 1000;
    std::partial_ordering operator<=>(const lane_settings&) const = default;
};

/// Divides the engines of one service between streams with short pauses and
/// streams with long prompts, in proportion to the work that this instance's
/// calls cause, averaged with the proportions of its peers. An engine has the
/// same position in all instances, so that they nearly agree. Not thread-safe.
class engine_lanes
{
public:
    explicit engine_lanes(const lane_settings& settings);

    /// Derives from the routes which streams need short pauses.
    void set_routes(const routing::route_settings& routes,
                    const routing::service_name& service);
    void set_engine_count(std::size_t count);
    /// Records a first event: its time as a fraction of the latency target. A
    /// lane whose first events are late grows.
    void record_first_event(stream_lane lane, double fraction);
    /// Adds the work that a call causes at its engine. Counted when the call is
    /// sent: under overload long streams end late or not at all, so that the
    /// work of finished calls understates their lane.
    void record_work(absl::Time now, stream_lane lane, double work_ms);
    /// Records the part of an engine's time that a finished stream took, in ms.
    void record_stream(stream_lane lane, double stream_ms);
    /// Mean of these times.
    [[nodiscard]] double expected_stream_ms(stream_lane lane) const;

    /// Mean of the shares that linked instances have reported.
    void set_peer_share(std::optional<double> share);

    [[nodiscard]] bool is_divided() const;
    [[nodiscard]] stream_lane lane_of(const routing::route& route) const;
    /// The lane of an engine by its position, from 0 to 1.
    [[nodiscard]] stream_lane lane_at(double position) const;
    /// Share of the engines that have short pauses.
    [[nodiscard]] double short_pause_share() const;

private:
    void decay(absl::Time now);
    [[nodiscard]] double own_share() const;

    lane_settings settings_;
    std::size_t engine_count_ = 0;
    /// Largest gap target of the lane of short pauses; zero without such
    /// routes.
    absl::Duration short_gap_ = absl::ZeroDuration();
    bool is_needed_ = false;
    double short_work_ms_;
    double all_work_ms_;
    /// Moving averages of the time of finished streams, by lane.
    std::array<double, 2> stream_ms_;
    /// Moving averages of first events as fractions of their targets, by lane.
    std::array<double, 2> first_events_{};
    std::optional<double> peer_share_;
    absl::Time decayed_at_ = absl::InfinitePast();
};

/// Position of a server in the division into lanes, from 0 to 1.
[[nodiscard]] double lane_position(const core::backend_server_id& server);

} // namespace oriolefall::dispatch

#endif
