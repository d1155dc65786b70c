#ifndef ORIOLEFALL_DISPATCH_PLACEMENT_HPP
#define ORIOLEFALL_DISPATCH_PLACEMENT_HPP

#include "oriolefall/dispatch/engine_lanes.hpp"
#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace oriolefall::dispatch {

/// Parameters of the placement cost.
struct placement_settings
{
    /// Prefill throughput assumed for an engine, in prompt tokens per ms; the
    /// measured slowness of the engine scales it.
    double prefill_tokens_per_ms = 40;
    /// Cost of the prefill of one token in addition to its duration: prefill
    /// delays all other calls at the engine and evicts shared prompts from its
    /// cache.
    double extra_ms_per_uncached_token = 0.5;
    /// Time to the first event of an idle engine, in ms.
    double idle_first_event_ms = 40;
    /// Added to the time to the first event for each open call at the engine,
    /// in ms.
    double ms_per_running_call = 2;
    /// Duration of one call at a plain service, in ms.
    double plain_call_ms = 60;
    /// Cost of a server in another region: a fixed part, and a part for each
    /// KiB of the request body.
    double cross_region_ms = 20;
    double cross_region_ms_per_kib = 2;
    /// Fraction of a shared prompt that is assumed to be in the cache of its
    /// first and second affinity server even if this instance has not sent the
    /// prompt there, since other instances have.
    double first_affinity_share = 1.0;
    double second_affinity_share = 0.3;
    /// Shared tokens from which on a prompt is kept at its affinity servers
    /// where the engines are divided into lanes.
    std::uint32_t min_affinity_tokens = 1000;
    /// Cost of an engine of the other lane, in ms: for a stream with short
    /// pauses, and for a long prompt, which delays several such streams.
    double short_pauses_in_other_lane_ms = 120;
    double long_prompt_in_other_lane_ms = 400;
    /// Cost of a call to an engine with a limit, for each token that the prompt
    /// is shorter than the mean, in ms: its few calls are for long prompts.
    double ms_per_token_below_mean_at_limited = 0.03;
    /// While fewer than this fraction of the engines with a limit take a call,
    /// they are reserved for the longest prompts: for all others they cost up
    /// to this time more, in ms.
    double min_limited_availability = 0.3;
    double reserved_for_longer_ms = 60000;
    /// Where the service uses capacity learning: cost of each ms by which the
    /// expected mean and longest pause exceed this share of the gap target of
    /// the route, and the most that pauses cost. A mean pause that is too long
    /// delays every event, the longest one a single one.
    double pause_target_share = 0.85;
    double mean_pause_cost = 8;
    double long_pause_cost = 2;
    double max_pause_cost_ms = 5000;
    /// Where the service uses capacity learning: cost of an engine that is no
    /// affinity server of the shared part, also if it is in its cache from when
    /// the part was hot, so that the part goes back to few engines.
    double other_affinity_ms = 15;
    /// Where the service uses capacity learning: added to the time to the first
    /// event at the call limit, in proportion to the calls, instead of
    /// `ms_per_running_call`; and cost of a server at its limit, which grows
    /// with the square of the calls, so that small differences in speed do not
    /// decide.
    double ms_at_call_limit = 16;
    double utilization_ms = 24;
    std::partial_ordering
    operator<=>(const placement_settings&) const = default;
};

/// Properties of a request that placement depends on.
struct placement_query
{
    std::span<const prompt_part> prompt;
    bool is_engine = false;
    stream_lane lane = stream_lane::long_prompts;
    std::uint32_t body_bytes = 0;
    /// Mean length of the prompts for the service.
    double mean_prompt_tokens = 0;
    /// Fraction of these prompts that are not longer.
    double length_rank = 1;
    /// Fraction of the engines with a limit that take a call now.
    double limited_availability = 1;
    /// Region of this instance.
    core::region_name own_region;
    absl::Time now;
    /// Target of the route for the longest pause between two events.
    absl::Duration gap_target = absl::InfiniteDuration();
};

/// What is learned of a server's capacity, for one request.
struct learned_load
{
    /// Estimated calls of all instances at the server.
    double calls = 0;
    double call_limit = 1;
    double time_scale = 1;
    /// Expected time until the call begins to run, in ms.
    double wait_ms = 0;
    /// Expected pauses between events with one more call, in ms.
    double mean_pause_ms = 0;
    double long_pause_ms = 0;
    std::partial_ordering operator<=>(const learned_load&) const = default;
};

/// State of a server that placement depends on, for one request.
struct server_view
{
    const server_state& server;
    /// 1 for the first affinity server of the request's shared prompt, or the
    /// first few of a hot one, 2 for the next, 0 for all others.
    unsigned affinity_rank = 0;
    /// Load reported by the other instances.
    double other_calls = 0;
    double other_backlog_tokens = 0;
    /// The engine belongs to the lane that the request does not.
    bool is_other_lane = false;
    /// Set if the service uses capacity learning.
    std::optional<learned_load> learned = std::nullopt;
};

/// The cost of sending the request to the server, in ms. The server with the
/// lowest cost is chosen.
using placement_cost_hook =
    std::function<double(const placement_query&, const server_view&)>;

/// Makes a placement cost based on the expected time to the first event or
/// answer.
[[nodiscard]] placement_cost_hook
expected_time_cost(placement_settings settings);

/// What is learned of the server's capacity, as of `now`.
[[nodiscard]] learned_load load_of(const server_state& server, absl::Time now);

/// Expected time to the first event of an engine, in ms.
[[nodiscard]] double expected_first_event_ms(const placement_settings& settings,
                                             const server_view& view,
                                             double uncached_tokens);

/// Expected time to the answer of a plain service, in ms.
[[nodiscard]] double
expected_plain_answer_ms(const placement_settings& settings,
                         const server_view& view, absl::Time now);

/// Number of tokens of `prompt` that are probably not in the server's cache.
[[nodiscard]] std::uint32_t
expected_uncached_tokens(const placement_settings& settings,
                         std::span<const prompt_part> prompt,
                         const server_view& view);

/// True for a prompt that is longer than the mean.
[[nodiscard]] bool is_long(const placement_query& query);

[[nodiscard]] std::uint32_t total_tokens(std::span<const prompt_part> prompt);

/// All parts of `prompt` but the last, which belongs to the request or session.
[[nodiscard]] std::span<const prompt_part>
shared_parts(std::span<const prompt_part> prompt);

/// Hash key that maps requests with the same shared prompt to the same affinity
/// servers: the ID of the last shared part, which is the part before the last.
[[nodiscard]] std::uint64_t affinity_key(std::span<const prompt_part> prompt);

} // namespace oriolefall::dispatch

#endif
