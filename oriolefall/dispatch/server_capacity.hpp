#ifndef ORIOLEFALL_DISPATCH_SERVER_CAPACITY_HPP
#define ORIOLEFALL_DISPATCH_SERVER_CAPACITY_HPP

#include "oriolefall/scheduling/concurrency_limit.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <optional>

namespace oriolefall::dispatch {

/// How the capacity of a server is learned.
struct capacity_settings
{
    /// Half-life of the slow part of the time scale. The time between two
    /// observations counts as at most `max_observation_gap`, so that a server
    /// with few calls is judged by several of them.
    absl::Duration scale_half_life = absl::Seconds(1);
    absl::Duration max_observation_gap = absl::Milliseconds(500);
    /// Bounds on the slow and the fast part of the time scale.
    double min_scale = 0.15;
    double max_scale = 8;
    /// Time constant with which the last WORK figure decays to 1.
    absl::Duration work_decay_time = absl::Seconds(1);
    /// WORK figures outside of this range, in percent, are ignored.
    std::uint32_t min_work_percent = 10;
    std::uint32_t max_work_percent = 2000;
    /// The call limit is never lower.
    double min_call_limit = 2;
    /// The same per slot. Prompts that an engine reads delay its streams
    /// whatever the number of calls is; a lower limit would only move prompts
    /// to engines that have to read their shared parts again.
    double min_limit_per_slot = 0.5;
    /// Factor by which a late stream lowers the limit below the number of calls
    /// at which it ran.
    double decrease_factor = 0.8;
    absl::Duration decrease_interval = absl::Milliseconds(200);
    /// Share of the slots by which the limit increases each second.
    double increase_share_per_second = 0.3;
    /// For this time after a late stream, the increase beyond the number of
    /// calls at which it ran is slowed by this factor.
    absl::Duration late_level_lifetime = absl::Seconds(8);
    double increase_beyond_late_level = 0.1;
    /// Time for which the shortest gap target of a stream applies to others.
    absl::Duration gap_target_lifetime = absl::Seconds(5);
    /// Time without an observation after which the limit returns to the slots,
    /// and the time constant with which it does.
    absl::Duration forget_after = absl::Seconds(30);
    absl::Duration forget_time = absl::Seconds(10);
    /// The same for the slow part, which returns to 1, and for the pauses. A
    /// server that was found slow gets few calls or none, so that it has to be
    /// tried again to see that it has recovered.
    absl::Duration scale_forget_after = absl::Seconds(1);
    absl::Duration scale_forget_time = absl::Seconds(2);
    /// Time constants with which the time scale and the call limit that other
    /// instances observed lose weight. One of many instances sees a late stream
    /// at a server only every few seconds.
    absl::Duration peer_scale_decay_time = absl::Seconds(1);
    absl::Duration peer_limit_decay_time = absl::Seconds(8);
    /// Half-life of the pauses and of the duration of calls.
    absl::Duration pause_half_life = absl::Seconds(4);
    /// Duration of a call that is assumed before one has finished, in ms.
    double initial_call_ms = 1000;
    /// Prompts that wait to be read may delay other streams by up to this
    /// multiple of the shortest gap target.
    double max_backlog_per_gap_target = 4;
    /// Prefill throughput that is assumed at time scale 1, in tokens per ms.
    double prefill_tokens_per_ms = 40;
    /// Share of the call limit that is kept for the most urgent calls.
    double urgent_share = 0.15;
    std::partial_ordering operator<=>(const capacity_settings&) const = default;
};

/// What a finished stream tells about its server.
struct finished_stream
{
    /// Calls of all instances at the server when it began and when it ended,
    /// with this one.
    double calls_at_start = 1;
    double calls_at_end = 1;
    /// From the call to its end.
    absl::Duration duration = absl::ZeroDuration();
    absl::Duration mean_gap = absl::ZeroDuration();
    absl::Duration longest_gap = absl::ZeroDuration();
    absl::Duration gap_target = absl::InfiniteDuration();
    std::partial_ordering operator<=>(const finished_stream&) const = default;
};

/// Time to the first event of a stream.
struct first_event
{
    /// Expected at time scale 1 at the load at which it was sent.
    double nominal_ms = 0;
    double measured_ms = 0;
    /// Part of `nominal_ms` for reading the stream's own prompt.
    double nominal_prompt_ms = 0;
    /// Calls of all instances at the server, with this one.
    double calls = 1;
    absl::Duration target = absl::InfiniteDuration();
    std::partial_ordering operator<=>(const first_event&) const = default;
};

/// What another instance observed of the server.
struct peer_capacity
{
    absl::Time observed_at = absl::InfinitePast();
    /// Empty if it has observed none of late.
    std::optional<double> time_scale;
    std::optional<double> call_limit;
    std::partial_ordering operator<=>(const peer_capacity&) const = default;
};

/// Decayed linear regression of a pause on the number of calls.
class pause_estimate
{
public:
    void record(double decay, double calls, double pause_ms);
    /// Expected pause in ms; 0 before the first observation.
    [[nodiscard]] double at(double calls) const;

private:
    double weight_ = 0;
    double calls_ = 0;
    double squared_calls_ = 0;
    double pauses_ = 0;
    double products_ = 0;
};

/// Learns how slow a server is and how many calls of all instances it takes
/// such that their pauses and first events are within target. One for each
/// incarnation of a server. Not thread-safe.
class server_capacity
{
public:
    server_capacity(const capacity_settings& settings, std::uint32_t slots);

    void set_slots(std::uint32_t slots);
    /// Takes the slow part of a server that has not been measured yet.
    void set_initial_scale(double scale);
    /// Records a WORK figure of the server; 0 if it reported none.
    void record_work(absl::Time now, std::uint32_t work_percent);
    /// Records a first event, after the WORK figure that came with it.
    void record_first_event(absl::Time now, const first_event& event);
    void record_stream(absl::Time now, const finished_stream& stream);
    /// Records that a call was not finished in time when it ran with `calls`.
    void record_late(absl::Time now, double calls);
    /// Takes what another instance observed, unless it is older than what is
    /// known of others.
    void record_peer(const peer_capacity& observed);

    /// How long work takes at the server relative to the usual time.
    [[nodiscard]] double time_scale(absl::Time now) const;
    [[nodiscard]] double slow_scale(absl::Time now) const;
    [[nodiscard]] double fast_scale(absl::Time now) const;
    /// Number of calls of all instances that the server takes well. A whole
    /// number, so that a part of a call does not admit one more.
    [[nodiscard]] double call_limit(absl::Time now) const;
    /// What this instance itself observed within the last seconds, to be sent
    /// to others.
    [[nodiscard]] peer_capacity own_observation(absl::Time now) const;

    /// Expected mean and longest pause between two events in ms at the time
    /// scale `scale`; 0 if unknown.
    [[nodiscard]] double expected_mean_pause_ms(absl::Time now, double scale,
                                                double calls) const;
    [[nodiscard]] double expected_long_pause_ms(absl::Time now, double scale,
                                                double calls) const;
    /// Expected time in ms until a call begins that is sent when `calls` are at
    /// the server, which takes `limit` of them.
    [[nodiscard]] double expected_wait_ms(double limit, double calls) const;
    /// Shortest gap target of the streams of late; infinite without one.
    [[nodiscard]] absl::Duration shortest_gap_target(absl::Time now) const;

private:
    void record_in_time(absl::Time now, double calls);
    [[nodiscard]] double own_scale(absl::Time now) const;
    [[nodiscard]] double own_limit(absl::Time now) const;
    /// Share of the learned limit that is forgotten.
    [[nodiscard]] double forgotten_limit(absl::Time now) const;
    /// Share that is forgotten of the slow part or pauses that were last
    /// observed at `observed_at`.
    [[nodiscard]] double forgotten_scale(absl::Time now,
                                         absl::Time observed_at) const;

    capacity_settings settings_;
    double slots_;
    scheduling::concurrency_limit limit_;
    /// Decayed sum of measured by expected times, and of their weights.
    double scale_sum_ = 1;
    double scale_weight_ = 1;
    absl::Time scale_observed_at_ = absl::InfinitePast();
    double work_ = 1;
    absl::Time work_received_at_ = absl::InfinitePast();
    absl::Time limit_observed_at_ = absl::InfinitePast();
    /// Last time that a stream was late, or in time near the limit: others tell
    /// nothing about the limit.
    absl::Time limit_confirmed_at_ = absl::InfinitePast();
    /// Lowest recent number of calls at which a stream was late.
    double late_calls_ = 0;
    absl::Time late_at_ = absl::InfinitePast();
    absl::Duration shortest_gap_target_ = absl::InfiniteDuration();
    absl::Time gap_target_seen_at_ = absl::InfinitePast();
    pause_estimate mean_pause_;
    pause_estimate long_pause_;
    double call_ms_;
    absl::Time stream_ended_at_ = absl::InfinitePast();
    std::optional<double> peer_scale_;
    absl::Time peer_scale_at_ = absl::InfinitePast();
    std::optional<double> peer_limit_;
    absl::Time peer_limit_at_ = absl::InfinitePast();
};

} // namespace oriolefall::dispatch

#endif
