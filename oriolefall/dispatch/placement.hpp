#ifndef ORIOLEFALL_DISPATCH_PLACEMENT_HPP
#define ORIOLEFALL_DISPATCH_PLACEMENT_HPP

#include "oriolefall/dispatch/event.hpp"
#include "oriolefall/dispatch/server_state.hpp"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <span>

namespace oriolefall::dispatch {

/// What the cost of sending a request to a server is reckoned with.
struct placement_settings
{
    /// Prompt tokens that an engine is taken to read in a millisecond until
    /// its answers have shown how fast it is.
    double read_tokens_per_ms = 40;
    /// Cost of reading a token, beside the time it takes: it holds up all
    /// others at that engine, and drops what they share from its memory.
    double ms_per_token_read = 0.5;
    /// Time to the first event of an engine with nothing else to do, in ms.
    double first_event_ms = 40;
    /// Added for each call that runs there, in ms.
    double ms_per_running_call = 2;
    /// Time of one call at a plain service, in ms.
    double plain_call_ms = 60;
    /// Cost of leaving the region, fixed and for each KiB of the request.
    double far_ms = 20;
    double far_ms_per_kib = 2;
    /// Shares of a shared prompt that its first and second home are taken to
    /// keep although this instance has not sent it there: others have.
    double first_home_share = 1.0;
    double second_home_share = 0.3;
    std::partial_ordering
    operator<=>(const placement_settings&) const = default;
};

/// What placement knows of one request.
struct placement_facts
{
    std::span<const prompt_part> prompt;
    bool is_engine = false;
    std::uint32_t body_bytes = 0;
    core::region_name here;
    absl::Time now;
};

/// What placement knows of one server.
struct server_view
{
    const server_state& server;
    /// 1 for the home of the request's shared prompt, 2 for the next one, 0
    /// for others.
    unsigned home_rank = 0;
    /// Of the other instances.
    double other_calls = 0;
    double other_backlog_tokens = 0;
};

/// The cost of sending the request to the server, in ms; the lowest wins.
using placement_hook =
    std::function<double(const placement_facts&, const server_view&)>;

/// The cost by the time to the first event or answer that is expected there.
[[nodiscard]] placement_hook expected_time(placement_settings settings);

/// Time to the first event that is expected of an engine, in ms.
[[nodiscard]] double expected_first_event(const placement_settings& settings,
                                          const server_view& view,
                                          double tokens_to_read);

/// Time to the answer that is expected of a plain service, in ms.
[[nodiscard]] double expected_plain_answer(const placement_settings& settings,
                                           const server_view& view,
                                           absl::Time now);

/// The tokens of `prompt` that the server probably has to read.
[[nodiscard]] std::uint32_t
expected_to_read(const placement_settings& settings,
                 std::span<const prompt_part> prompt, const server_view& view);

[[nodiscard]] std::uint32_t total_tokens(std::span<const prompt_part> prompt);

/// Key by which requests that share a prompt find their home server: the last
/// of the parts that others share.
[[nodiscard]] std::uint64_t home_key(std::span<const prompt_part> prompt);

} // namespace oriolefall::dispatch

#endif
