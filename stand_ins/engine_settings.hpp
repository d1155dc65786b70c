#ifndef ORIOLEFALL_STAND_INS_ENGINE_SETTINGS_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_SETTINGS_HPP

#include <absl/time/time.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolefall::stand_ins {

/// What a model engine is able to do.
struct engine_settings
{
    std::string id = "engine";
    /// Models that are loaded at the start.
    std::vector<std::string> models{"assistant"};
    /// Answers computed at once.
    std::size_t slots = 16;
    /// Requests that wait for a slot at most; more are refused.
    std::size_t queue_capacity = 64;
    /// Time of one decode step of a batch of one.
    absl::Duration step = absl::Milliseconds(10);
    /// Share by which a step grows for each further answer in the batch.
    double step_growth = 0.02;
    double prefill_tokens_per_s = 20000;
    /// Size of the prefix cache.
    std::size_t cache_tokens = 65536;
    /// Time to load a model.
    absl::Duration model_load_time = absl::Milliseconds(200);
    /// Whether an order with an old fencing number is refused.
    bool checks_fencing = false;
    std::partial_ordering operator<=>(const engine_settings&) const = default;
};

/// Faults that a test has switched on.
struct engine_faults
{
    /// Factor on the time of each step.
    double straggle = 1.0;
    /// The next stream's connection is cut after so many tokens; once.
    std::optional<std::uint32_t> crash_after_tokens;
    /// The next stream goes silent after so many tokens; once.
    std::optional<std::uint32_t> silent_after_tokens;
    bool refuse = false;
    /// Age of the load reports.
    absl::Duration lag = absl::ZeroDuration();
    /// Running answers that are reported in place of the true number.
    std::optional<std::uint32_t> lie_running;
    std::partial_ordering operator<=>(const engine_faults&) const = default;
};

/// One load report.
struct engine_load
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Share of the prefix cache in use, 0 to 1.
    double cache_used = 0;
    absl::Duration age = absl::ZeroDuration();
    std::partial_ordering operator<=>(const engine_load&) const = default;
};

/// Counters since the start of the engine.
struct engine_stats
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    /// Answers cut or silenced by a fault.
    std::uint64_t broken = 0;
    std::uint64_t tokens_computed = 0;
    /// Tokens of answers whose connection was closed before their end.
    std::uint64_t tokens_wasted = 0;
    /// Tokens computed for each priority, the highest first.
    std::array<std::uint64_t, 3> tokens_by_priority{};
    std::uint64_t prefill_tokens_computed = 0;
    std::uint64_t prefill_tokens_cached = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Since the last request was accepted; nothing before the first.
    std::optional<absl::Duration> since_last_start;
    std::strong_ordering operator<=>(const engine_stats&) const = default;
};

} // namespace oriolefall::stand_ins

#endif
