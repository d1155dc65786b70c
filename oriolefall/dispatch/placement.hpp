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
    /// Prompt tokens that an engine reads in a millisecond.
    double read_tokens_per_ms = 50;
    /// Added to the time of one token for each call that runs, in ms.
    double ms_per_running_call = 2;
    /// Time of one call at a plain service, in ms.
    double plain_call_ms = 60;
    /// Cost of leaving the region, fixed and for each KiB of the request.
    double far_ms = 20;
    double far_ms_per_kib = 2;
    /// Share of a shared prompt that its home server is taken to keep, when
    /// this instance has not sent it there itself: others have.
    double home_share = 0.7;
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

/// The cost of sending the request to the server, in ms; the lowest wins.
using placement_hook =
    std::function<double(const placement_facts&, const server_state&,
                         /*is_home*/ bool)>;

/// The cost by the time to the first event or answer that is expected there.
[[nodiscard]] placement_hook expected_time(placement_settings settings);

/// The tokens of `prompt` that `server` has to read, its home or not.
[[nodiscard]] std::uint32_t tokens_to_read(std::span<const prompt_part> prompt,
                                           const server_state& server);
[[nodiscard]] std::uint32_t total_tokens(std::span<const prompt_part> prompt);

/// Key by which requests that share a prompt find their home server: the last
/// of the parts that others share.
[[nodiscard]] std::uint64_t home_key(std::span<const prompt_part> prompt);

} // namespace oriolefall::dispatch

#endif
