#ifndef ORIOLEFALL_STAND_INS_ENGINE_BATCH_HPP
#define ORIOLEFALL_STAND_INS_ENGINE_BATCH_HPP

#include "stand_ins/engine_messages.hpp"
#include "stand_ins/engine_settings.hpp"
#include "stand_ins/prefix_cache.hpp"

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace oriolefall::stand_ins {

/// The state of a model engine: continuous batching with chunked prefill. No
/// clock and no thread of its own; one thread at a time.
class engine_batch
{
public:
    explicit engine_batch(const engine_settings& settings);

    /// Takes or refuses an answer; `sink` hears which at once.
    void submit(absl::Time now, generation_order order, stream_sink sink);
    void cancel(absl::Time now, std::uint64_t id);

    /// Fills free slots and begins a step; the time at which it ends, or
    /// nothing when there is no work.
    [[nodiscard]] std::optional<absl::Time> begin_step(absl::Time now);
    /// Ends the step begun last: one token for each answer past its prefill.
    void end_step(absl::Time now);

    [[nodiscard]] engine_load load(absl::Time now) const;
    [[nodiscard]] engine_stats stats(absl::Time now) const;
    engine_faults& faults()
    {
        return faults_;
    }

private:
    struct sequence
    {
        generation_order order;
        stream_sink sink;
        std::uint32_t prefill_left = 0;
        std::uint32_t next_index = 0;
        std::uint32_t computed = 0;
        std::optional<std::uint32_t> crash_after;
        std::optional<std::uint32_t> silent_after;
    };

    struct load_sample
    {
        absl::Time at;
        engine_load load;
    };

    using queue_key = std::pair<int, std::uint64_t>;

    void admit(sequence next);
    void prefill(double budget);
    /// False when the answer has left the batch.
    bool decode(sequence& answer);
    void discard(const sequence& answer);
    void sample_load(absl::Time now);
    [[nodiscard]] engine_load current_load() const;

    engine_settings settings_;
    engine_faults faults_;
    prefix_cache cache_;
    std::map<queue_key, sequence> waiting_;
    std::vector<sequence> running_;
    std::vector<sequence> silent_;
    std::deque<load_sample> samples_;
    engine_stats stats_;
    absl::Duration step_time_ = absl::ZeroDuration();
    absl::Time last_start_ = absl::InfinitePast();
    std::uint64_t arrivals_ = 0;
};

} // namespace oriolefall::stand_ins

#endif
