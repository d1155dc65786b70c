#ifndef ORIOLEFALL_BENCH_REPLAY_SERVER_HPP
#define ORIOLEFALL_BENCH_REPLAY_SERVER_HPP

#include "bench/trace.hpp"
#include "oriolefall/core/ids.hpp"
#include "oriolefall/core/tier.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <vector>

namespace oriolefall::bench {

/// A call as it reaches a modelled server.
struct server_call
{
    core::call_id call;
    core::tier priority = core::tier::standard;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::uint64_t resume_from = 0;
    std::uint64_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    /// Server time spent on it so far, and on its prompt alone.
    absl::Duration work = absl::ZeroDuration();
    absl::Duration prompt_work = absl::ZeroDuration();
};

/// What a call has to show at a moment.
struct server_progress
{
    core::call_id call;
    std::uint64_t tokens = 0;
    bool whole = false;
    /// The connection has gone silent: nothing of this arrives.
    bool silent = false;
};

/// Model of one backend server in virtual time. An engine batches
/// continuously: each step gives every running stream one token and computes
/// a chunk of one prompt. A plain service works on each call by itself.
class replay_server
{
public:
    replay_server(const trace_server& settings, std::uint64_t seed);

    [[nodiscard]] const core::backend_server& server() const
    {
        return settings_.server;
    }

    /// False when it is refused before any work.
    bool submit(absl::Time now, const server_call& call);
    /// Stops an engine's stream; a plain service works on.
    void cancel(core::call_id call);
    /// When `advance` is due; infinite when idle.
    [[nodiscard]] absl::Time next() const;
    std::vector<server_progress> advance(absl::Time now);
    /// Drops all calls and gives their ids.
    std::vector<core::call_id> crash();
    /// Connections open now never send again.
    void silence();

    void set_factor(double factor)
    {
        factor_ = factor;
    }
    void set_others(std::uint32_t running)
    {
        others_ = running;
    }
    void set_refusing(bool refusing)
    {
        refusing_ = refusing;
    }
    [[nodiscard]] std::uint32_t running() const;
    [[nodiscard]] std::uint32_t queued() const;
    /// Calls that are over, with the work spent on them; empties the list.
    std::vector<server_call> take_ended();
    /// Calls that are still inside, with the work spent on them.
    [[nodiscard]] std::vector<server_call> open_calls() const;

private:
    struct stream
    {
        server_call call;
        /// Prompt tokens that are not yet computed.
        std::uint32_t prompt_left = 0;
        std::uint64_t produced = 0;
        bool silent = false;
        /// For a plain service: when its answer is ready.
        absl::Time ready = absl::InfiniteFuture();
    };

    [[nodiscard]] bool is_service() const;
    void admit(absl::Time now);
    void start_prompt(stream& started);
    bool take_from_cache(std::uint64_t prefix);
    void begin_step(absl::Time now);
    std::vector<server_progress> end_step(absl::Time now);
    std::vector<server_progress> end_service_calls(absl::Time now);
    [[nodiscard]] absl::Duration varied(absl::Duration time);
    void drop(std::vector<stream>& from, core::call_id call);

    trace_server settings_;
    std::vector<stream> running_;
    /// In the order in which they are to start.
    std::vector<stream> waiting_;
    std::list<std::uint64_t> cache_;
    std::vector<server_call> ended_;
    absl::Time step_end_ = absl::InfiniteFuture();
    /// Call whose prompt is computed in this step.
    core::call_id prompt_call_;
    std::uint32_t prompt_chunk_ = 0;
    double factor_ = 1.0;
    std::uint32_t others_ = 0;
    bool refusing_ = false;
    std::mt19937_64 random_;
};

} // namespace oriolefall::bench

#endif
